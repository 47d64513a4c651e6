/** The choice of a worker within a pool. */
package org.bronzewheel.routing;
