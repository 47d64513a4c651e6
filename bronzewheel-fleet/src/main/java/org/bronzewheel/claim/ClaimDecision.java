package org.bronzewheel.claim;

import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.RequestId;

/** The decision on a claim. */
public sealed interface ClaimDecision {
    /**
     * The request holds the key; no other request with this key may run.
     *
     * @param requestId the request that holds the key
     */
    record Granted(RequestId requestId) implements ClaimDecision {}

    /**
     * Another request holds the key or leads its votes; the caller joins it.
     *
     * @param requestId the other request
     */
    record HeldBy(RequestId requestId) implements ClaimDecision {}

    /**
     * The request must not run.
     *
     * @param code the reason: CLAIM_UNAVAILABLE, CLAIM_SPLIT, KEY_EXPIRED, KEY_NOT_REMEMBERED,
     *     KEY_REUSED or DRAINING
     * @param retryAfterMillis the delay before a retry, in milliseconds, 0 if a retry cannot
     *     succeed
     */
    record Refused(ErrorCode code, long retryAfterMillis) implements ClaimDecision {}
}
