package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/**
 * A request's wish to hold an idempotency key.
 *
 * @param key the key
 * @param requestId the request
 * @param fingerprint a digest of pipeline and body; the same key with another one is refused
 * @param deadlineMillis the longest wait for the decision, in milliseconds
 */
public record ClaimRequest(
        IdempotencyKey key, RequestId requestId, String fingerprint, long deadlineMillis) {}
