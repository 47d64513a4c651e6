package org.bronzewheel.execution;

import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;

/** The place of one attempt at a worker. */
interface Placement {
    /** The latency of an attempt that tells nothing of the worker's speed. */
    long UNKNOWN_LATENCY = -1;

    Upstream upstream();

    /**
     * Gives the place back; only the first call counts.
     *
     * @param outcome how the attempt ended
     * @param latencyNanos its latency, or {@link #UNKNOWN_LATENCY}
     */
    void end(Outcome outcome, long latencyNanos);
}
