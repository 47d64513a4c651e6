package org.bronzewheel.request;

/** The outcome of an attempt or a request; each has exactly one. */
public enum Outcome {
    /** The answer is complete. */
    ANSWERED,
    /**
     * It provably never ran: nothing was sent by this process, or the peer proved that it did not
     * run.
     */
    NOT_RUN,
    /** It ran and failed. */
    FAILED,
    /** It may have run. */
    UNKNOWN;

    /**
     * Returns whether the work may be sent again.
     *
     * @param idempotent whether running the work twice does no harm
     * @return true if a retry cannot run non-idempotent work twice
     */
    public boolean mayBeRetried(boolean idempotent) {
        return this == NOT_RUN || (idempotent && this != ANSWERED);
    }
}
