/** The limits on retries that all routers share. */
package org.bronzewheel.repeats;
