/** Permits for requests to upstreams that limit the request rate of all routers together. */
package org.bronzewheel.permits;
