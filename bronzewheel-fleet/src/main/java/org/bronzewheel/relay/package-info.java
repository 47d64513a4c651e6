/** The relay of configuration documents from few readers to all routers. */
package org.bronzewheel.relay;
