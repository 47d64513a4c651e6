/** Relays configuration documents from a few readers to all routers. */
package org.bronzewheel.relay;
