package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;

/**
 * A granted claim of this router.
 *
 * @param key the key
 * @param fingerprint the fingerprint of the request
 * @param startedNanos when the claim began, in nanoseconds
 */
record Grant(IdempotencyKey key, String fingerprint, long startedNanos) {}
