package org.bronzewheel.claim;

import io.reactivex.rxjava3.core.Single;
import org.bronzewheel.service.Service;

/** A decider of which request may run under an idempotency key, over all routers. */
public interface ClaimService extends Service {
    /**
     * Claims a key.
     *
     * @param request the wish
     * @return the decision; never an error
     */
    Single<ClaimDecision> claim(ClaimRequest request);

    /**
     * Tells whether this router has been up for long enough to take part in claims of new keys.
     *
     * @return true from the end of the warm-up on
     */
    boolean isWarm();

    /**
     * Checks, immediately before a non-idempotent call leaves, that the grant still stands by the
     * monotonic clock. A process that was paused past the grant's validity must not send.
     *
     * @param request the wish that was granted
     * @return true where the call may be sent
     */
    boolean isStillGranted(ClaimRequest request);

    /**
     * Hands the votes of this router to its peers; part of a planned stop.
     *
     * @param timeoutMillis the longest wait, in milliseconds
     * @return true where each vote has reached a peer
     */
    Single<Boolean> handOver(long timeoutMillis);
}
