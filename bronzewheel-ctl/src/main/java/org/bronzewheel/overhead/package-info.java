/** The router's own cost, in real time over loopback sockets. */
package org.bronzewheel.overhead;
