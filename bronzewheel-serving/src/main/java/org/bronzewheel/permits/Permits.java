package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.function.Consumer;

/** Permits for requests to upstreams that limit the request rate of all routers together. */
public interface Permits {
    /** An implementation for routers whose upstreams have no limits. */
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
                        long timeoutMillis,
                        Consumer<PermitDecision> listener) {
                    throw new IllegalStateException("no permit is needed for " + name);
                }
            };

    /**
     * Returns whether a request needs a permit.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @return whether there is a limit
     */
    boolean isNeeded(PermitKind kind, String name);

    /**
     * Returns for how long this router knows permits to be unavailable.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @return the time in milliseconds; 0 if a permit can be requested
     */
    long unavailableMillis(PermitKind kind, String name);

    /**
     * Acquires a permit for one request. A granted permit must be used at once.
     *
     * @param kind what it is for
     * @param name the upstream or the service
     * @param rank the rank of the request, 0 being the most urgent
     * @param timeoutMillis the maximum waiting time, in milliseconds
     * @param listener receives the decision, never before this method returns
     * @return cancels the wait when disposed; the listener is not called any more
     */
    Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long timeoutMillis,
            Consumer<PermitDecision> listener);
}
