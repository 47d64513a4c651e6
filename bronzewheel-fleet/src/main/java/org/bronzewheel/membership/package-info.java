/** The published VM list combined with failure detection between routers. */
package org.bronzewheel.membership;
