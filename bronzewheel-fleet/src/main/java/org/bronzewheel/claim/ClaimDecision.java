package org.bronzewheel.claim;

import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.RequestId;

/** The end of a claim. */
public sealed interface ClaimDecision {
    /**
     * The request holds the key: it, and no other, may run.
     *
     * @param requestId the request that holds the key
     */
    record Granted(RequestId requestId) implements ClaimDecision {}

    /**
     * Another request holds the key or has its first votes; join it.
     *
     * @param requestId the other request
     */
    record HeldBy(RequestId requestId) implements ClaimDecision {}

    /**
     * The request must not run.
     *
     * @param code the reason: CLAIM_UNAVAILABLE, CLAIM_SPLIT, KEY_EXPIRED, KEY_NOT_REMEMBERED,
     *     KEY_REUSED or DRAINING
     * @param retryAfterMillis when a further attempt makes sense, in milliseconds, 0 for never
     */
    record Refused(ErrorCode code, long retryAfterMillis) implements ClaimDecision {}
}
