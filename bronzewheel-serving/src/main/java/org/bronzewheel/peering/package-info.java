/** How routers that no list names find each other, and who of them owns what. */
package org.bronzewheel.peering;
