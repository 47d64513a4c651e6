package org.bronzewheel.serving;

/** Receives decisions about requests and their outcomes, for logs and metrics. Must not block. */
public interface RequestObserver {
    /**
     * Called for each decision about a request.
     *
     * @param requestId the id of the caller's attempt
     * @param decision the kind of decision
     * @param detail the inputs of the decision
     */
    void decided(String requestId, Decision decision, String detail);

    /**
     * Called when a request has ended.
     *
     * @param requestId the id of the caller's attempt
     * @param route the name of its route; empty if none matched
     * @param end how it ended
     * @param detail the HTTP status or the reason
     * @param elapsedMillis the time since its arrival, in milliseconds
     */
    void ended(
            String requestId, String route, RequestOutcome end, String detail, long elapsedMillis);

    /** The kinds of decisions. */
    enum Decision {
        /** The request was admitted. */
        ADMITTED,
        /** A stage was submitted. */
        STAGE,
        /** A stage failed. */
        STAGE_FAILED,
        /** The request was sent to an upstream. */
        SENT,
        /** An attempt ended with a complete success of its upstream. */
        ATTEMPT_SUCCEEDED,
        /** An attempt ended with a failure, without a complete response or was cancelled. */
        ATTEMPT_FAILED,
        /** The request is retried. */
        REPEATED,
        /** A response was discarded. */
        ANSWER_REJECTED,
        /** A stream is resumed at another upstream. */
        RESUMED,
        /** The request is not sent, because a part of its prompt crashes engines. */
        QUARANTINED,
        /** The router sent a response of its own. */
        REFUSED
    }
}
