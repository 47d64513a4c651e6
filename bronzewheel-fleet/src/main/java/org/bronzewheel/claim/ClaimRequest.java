package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/**
 * A request that asks for exclusive use of an idempotency key.
 *
 * @param key the key
 * @param requestId the request
 * @param fingerprint a digest of pipeline and body; reuse of the key with another digest is refused
 * @param deadlineMillis the timeout of the decision, in milliseconds
 */
public record ClaimRequest(
        IdempotencyKey key, RequestId requestId, String fingerprint, long deadlineMillis) {}
