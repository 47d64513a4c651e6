/** The published VM list joined with what routers observe. */
package org.bronzewheel.membership;
