/** Clients of upstreams and of the platform. */
package org.bronzewheel.upstream;
