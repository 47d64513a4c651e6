/** The transport of messages and calls between routers. */
package org.bronzewheel.transport;
