/** Discovery of routers through seeds, and the assignment of owners among them. */
package org.bronzewheel.peering;
