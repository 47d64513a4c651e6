/** The relay of a published, revisioned document from few readers to all routers. */
package org.bronzewheel.document;
