package org.bronzewheel.claim;

import org.bronzewheel.request.RequestId;

/** A decision of the claim machine for its own router. */
public sealed interface ClaimEvent {
    /**
     * A claim has ended.
     *
     * @param requestId the request that claimed
     * @param decision how it ended
     */
    record Decided(RequestId requestId, ClaimDecision decision) implements ClaimEvent {}

    /** Each vote of this router has reached its heir. */
    record HandedOver() implements ClaimEvent {}
}
