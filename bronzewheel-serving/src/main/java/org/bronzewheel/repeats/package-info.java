/** The limits of repeated sends that all routers share. */
package org.bronzewheel.repeats;
