package org.bronzewheel.claim;

import io.reactivex.rxjava3.core.Single;
import org.bronzewheel.service.Service;

/** Decides across all routers which request may run under an idempotency key. */
public interface ClaimService extends Service {
    /**
     * Claims a key.
     *
     * @param request the key and the request that claims it
     * @return the decision; never signals an error
     */
    Single<ClaimDecision> claim(ClaimRequest request);

    /**
     * Returns whether this router has been running long enough to take part in claims of new keys.
     *
     * @return true after the warm-up
     */
    boolean isWarm();

    /**
     * Checks immediately before a non-idempotent call is sent that the grant is still valid by the
     * monotonic clock. A process that was paused until after the grant expired must not send the
     * call.
     *
     * @param request the request of the granted claim
     * @return true if the call may be sent
     */
    boolean isStillGranted(ClaimRequest request);

    /**
     * Transfers the votes of this router to a peer during a graceful shutdown.
     *
     * @param timeoutMillis the timeout, in milliseconds
     * @return true if the peer has confirmed all votes
     */
    Single<Boolean> handOver(long timeoutMillis);
}
