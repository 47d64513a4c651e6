package org.bronzewheel.claim;

import java.util.Optional;
import org.bronzewheel.request.RequestId;

/**
 * What a seat remembers of a key.
 *
 * @param holder the request that it voted for, or empty where that request withdrew
 * @param fingerprint the fingerprint of that request, empty without holder
 * @param withdrawn the last request that withdrew, or empty; it gets no further vote
 * @param atNanos when the key was voted on last, in nanoseconds
 */
record Vote(
        Optional<RequestId> holder,
        String fingerprint,
        Optional<RequestId> withdrawn,
        long atNanos) {}
