package org.bronzewheel.serving;

/** A receiver of what became of requests, for logs and metrics. Must not block. */
public interface RequestObserver {
    /**
     * Takes a decision about a request.
     *
     * @param requestId the id of the caller's attempt
     * @param decision its kind
     * @param detail the inputs that decided it
     */
    void decided(String requestId, Decision decision, String detail);

    /**
     * Takes the end of a request.
     *
     * @param requestId the id of the caller's attempt
     * @param route the name of its route; empty where none took it
     * @param end how it ended
     * @param detail the status or the reason
     * @param elapsedMillis the time since it arrived, in milliseconds
     */
    void ended(
            String requestId, String route, RequestOutcome end, String detail, long elapsedMillis);

    /** The kinds of decisions. */
    enum Decision {
        /** The request was taken. */
        ADMITTED,
        /** A stage was submitted. */
        STAGE,
        /** A stage failed. */
        STAGE_FAILED,
        /** The request was sent to an upstream. */
        SENT,
        /** The request is sent again. */
        REPEATED,
        /** An answer was not used. */
        ANSWER_REJECTED,
        /** A stream goes on at another upstream. */
        RESUMED,
        /** The system answered for itself. */
        REFUSED
    }
}
