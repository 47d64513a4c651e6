package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;

/**
 * A claim of this router that was granted.
 *
 * @param key the key
 * @param fingerprint the fingerprint of the request
 * @param startedNanos when the claim began, in nanoseconds
 */
record Grant(IdempotencyKey key, String fingerprint, long startedNanos) {}
