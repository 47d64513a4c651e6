package org.bronzewheel.claim;

import org.bronzewheel.request.RequestId;

/** An event that the claim machine reports to its own router. */
public sealed interface ClaimEvent {
    /**
     * A claim was decided.
     *
     * @param requestId the request that claimed
     * @param decision the decision
     */
    record Decided(RequestId requestId, ClaimDecision decision) implements ClaimEvent {}

    /** The heir has confirmed all votes of this router. */
    record HandedOver() implements ClaimEvent {}
}
