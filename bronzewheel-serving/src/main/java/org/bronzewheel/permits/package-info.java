/** Permits for sends to upstreams that limit the requests they take from all routers together. */
package org.bronzewheel.permits;
