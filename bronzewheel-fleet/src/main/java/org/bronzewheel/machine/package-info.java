/** Deterministic state machines for the protocols between routers, and the runner for them. */
package org.bronzewheel.machine;
