package org.bronzewheel.execution;

/** A check of a request before its key is claimed. */
@FunctionalInterface
interface EntryCheck {
    /**
     * Refuses a request that cannot be served in time.
     *
     * @throws org.bronzewheel.error.BronzewheelException with outcome NOT_RUN
     */
    void check(RunContext run);
}
