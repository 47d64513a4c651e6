package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/**
 * A vote that is transferred to the heir of a seat.
 *
 * @param key the key
 * @param holder the request that was voted for
 * @param fingerprint the fingerprint of that request
 * @param ageNanos the time since the vote, in nanoseconds
 */
public record TransferredVote(
        IdempotencyKey key, RequestId holder, String fingerprint, long ageNanos) {}
