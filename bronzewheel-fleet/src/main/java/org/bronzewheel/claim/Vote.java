package org.bronzewheel.claim;

import java.util.Optional;
import org.bronzewheel.request.RequestId;

/**
 * The vote of a seat on a key.
 *
 * @param holder the request that it voted for, or empty if that request withdrew
 * @param fingerprint the fingerprint of that request, empty without holder
 * @param withdrawn the last request that withdrew, or empty; it receives no further vote
 * @param votedNanos when the seat last voted on the key, in nanoseconds
 */
record Vote(
        Optional<RequestId> holder,
        String fingerprint,
        Optional<RequestId> withdrawn,
        long votedNanos) {}
