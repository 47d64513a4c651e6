package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.function.Consumer;

/** The permits for sends to upstreams that limit the requests they take from all routers. */
public interface Permits {
    /** The permits of a router whose upstreams name no limits. */
    Permits UNLIMITED =
            new Permits() {
                @Override
                public boolean isNeeded(PermitKind kind, String name) {
                    return false;
                }

                @Override
                public long unavailableMillis(PermitKind kind, String name) {
                    return 0;
                }

                @Override
                public Disposable acquire(
                        PermitKind kind,
                        String name,
                        int rank,
                        long patienceMillis,
                        Consumer<PermitDecision> listener) {
                    throw new IllegalStateException("no permit is needed for " + name);
                }
            };

    /**
     * Tells whether a request needs a permit.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @return whether what it takes is limited
     */
    boolean isNeeded(PermitKind kind, String name);

    /**
     * Returns how long no permit is to be had, as far as this router knows.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @return the time in milliseconds; 0 where it is worth asking
     */
    long unavailableMillis(PermitKind kind, String name);

    /**
     * Takes a permit for one request, which is to be used at once.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @param rank the rank of the request, 0 first
     * @param patienceMillis how long the request may wait for it, in milliseconds
     * @param listener takes the decision, never before this method returns
     * @return gives the wait up; the listener is not called any more
     */
    Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long patienceMillis,
            Consumer<PermitDecision> listener);
}
