package org.bronzewheel.error;

/** Stable error codes that callers and operators see, each with its HTTP status. */
public enum ErrorCode {
    /** The request is not well-formed or lacks a required field. */
    MALFORMED_REQUEST(400),
    /** The pipeline is not defined in the rules. */
    UNKNOWN_PIPELINE(404),
    /** The request class is not defined in the rules. */
    UNKNOWN_REQUEST_CLASS(400),
    /** The workspace is not defined in the inventory. */
    UNKNOWN_WORKSPACE(403),
    /** No router holds a request with this id. */
    UNKNOWN_REQUEST(404),
    /** The body or a header exceeds its limit in bytes. */
    REQUEST_TOO_LARGE(413),
    /** The same idempotency key was used with another pipeline, workspace or body. */
    KEY_REUSED(422),
    /** The idempotency key is older than the retention period; an earlier attempt may have run. */
    KEY_EXPIRED(409),
    /** The key may predate what its voters remember; an earlier attempt may have run. */
    KEY_NOT_REMEMBERED(503),
    /** A majority of the voters of the key could not be reached. */
    CLAIM_UNAVAILABLE(503),
    /** The votes for the key were split, so that no attempt may run under it. */
    CLAIM_SPLIT(409),
    /** An earlier attempt holds the key and its result cannot be reached. */
    EARLIER_ATTEMPT_UNKNOWN(409),
    /** The queue of the request class or the share of the workspace is full. */
    OVERLOADED(503),
    /** The time until the deadline is too short for the remaining stages. */
    DEADLINE_TOO_SHORT(503),
    /** The deadline passed before the answer was complete. */
    DEADLINE_EXCEEDED(504),
    /** No upstream of the pool can be given new work. */
    NO_UPSTREAM(503),
    /** The upstream refused the call before running it. */
    UPSTREAM_REFUSED(503),
    /** The upstream ran the call and failed. */
    UPSTREAM_FAILED(502),
    /** The connection broke after the call was sent, so the call may have run. */
    UPSTREAM_BROKEN(502),
    /** The answer of the upstream was incomplete or belonged to another attempt. */
    UPSTREAM_ANSWER_INVALID(502),
    /** Another router could not be reached, or the connection to it broke. */
    PEER_UNREACHABLE(503),
    /** The caller cancelled the request. */
    CANCELLED(499),
    /** The router is shutting down and accepts no new requests. */
    DRAINING(503),
    /** The router has no configuration yet. */
    NOT_READY(503),
    /** A configuration document was refused. */
    INVALID_CONFIGURATION(422),
    /** A flag or an environment variable has an invalid value. */
    INVALID_SETTING(400),
    /** The configuration service or the VM list cannot be read. */
    PLATFORM_UNAVAILABLE(503),
    /** An internal error of the router. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status of responses with this code.
     *
     * @return the status, 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }
}
