package org.bronzewheel.request;

/** The end of an attempt or of a request; each ends in exactly one of these. */
public enum Outcome {
    /** The whole answer is there. */
    ANSWERED,
    /** It provably never ran: nothing left this process, or the peer proved it. */
    NOT_RUN,
    /** It ran and failed. */
    FAILED,
    /** It may have run. */
    UNKNOWN;

    /**
     * Tells whether the work may be sent again.
     *
     * @param idempotent whether running the work twice does no harm
     * @return true where a retry cannot run a non-idempotent work twice
     */
    public boolean mayBeRetried(boolean idempotent) {
        return this == NOT_RUN || (idempotent && this != ANSWERED);
    }
}
