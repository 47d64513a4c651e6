/** Relays a published, revisioned document from a few readers to all routers. */
package org.bronzewheel.document;
