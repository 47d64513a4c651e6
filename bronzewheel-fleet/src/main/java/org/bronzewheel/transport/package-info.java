/** Frames and calls between routers. */
package org.bronzewheel.transport;
