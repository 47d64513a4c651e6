package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.function.Consumer;

/** The permits for sends to upstreams that limit the requests they take from all routers. */
public interface Permits {
    /** The permits of a router whose upstreams name no limits. */
    Permits UNLIMITED =
            new Permits() {
                @Override
                public boolean isNeeded(String upstreamId) {
                    return false;
                }

                @Override
                public long opensAfterMillis(String upstreamId) {
                    return 0;
                }

                @Override
                public Disposable take(
                        String upstreamId,
                        int rank,
                        long patienceMillis,
                        Consumer<PermitDecision> listener) {
                    throw new IllegalStateException("no permit is needed for " + upstreamId);
                }
            };

    /**
     * Tells whether a send to an upstream needs a permit.
     *
     * @param upstreamId the upstream
     * @return whether it limits what it takes
     */
    boolean isNeeded(String upstreamId);

    /**
     * Returns how long no permit of an upstream is to be had, as far as this router knows.
     *
     * @param upstreamId the upstream
     * @return the time in milliseconds; 0 where it is worth asking
     */
    long opensAfterMillis(String upstreamId);

    /**
     * Takes a permit for one send, which is to follow at once.
     *
     * @param upstreamId the upstream
     * @param rank the rank of the request, 0 first
     * @param patienceMillis how long the request may wait for it, in milliseconds
     * @param listener takes the decision, never before this method returns
     * @return gives the wait up; the listener is not called any more
     */
    Disposable take(
            String upstreamId, int rank, long patienceMillis, Consumer<PermitDecision> listener);
}
