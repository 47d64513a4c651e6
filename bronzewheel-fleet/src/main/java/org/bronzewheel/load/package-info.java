/** Digests of upstream load that routers share. */
package org.bronzewheel.load;
