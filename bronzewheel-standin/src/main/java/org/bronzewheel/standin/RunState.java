package org.bronzewheel.standin;

/** The state of a run in a {@link Ledger}. */
public enum RunState {
    /** Started and not ended. */
    RUNNING,
    /** Ended with a result. */
    FINISHED,
    /** Ended with a failure. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED
}
