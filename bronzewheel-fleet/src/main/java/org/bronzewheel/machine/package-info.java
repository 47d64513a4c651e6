/** The form of the deterministic state machines that routers run together. */
package org.bronzewheel.machine;
