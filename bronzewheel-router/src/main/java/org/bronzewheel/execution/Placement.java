package org.bronzewheel.execution;

import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;

/** The place of one attempt at a worker; only the first call that ends it counts. */
interface Placement {
    Upstream upstream();

    /** Gives the place back after an answer, or after a failure that the worker is to blame for. */
    void end(Outcome outcome);

    /**
     * Gives the place back of an attempt whose end tells nothing of the worker but its slowness.
     */
    void cancel();
}
