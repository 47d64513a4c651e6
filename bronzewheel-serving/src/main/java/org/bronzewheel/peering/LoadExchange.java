package org.bronzewheel.peering;

import java.util.Optional;
import org.bronzewheel.wire.UpstreamLoads;

/** Supplies the load that this router reports with its heartbeats, and receives that of others. */
public interface LoadExchange {
    /** An exchange for routers that do not share their load. */
    LoadExchange NONE =
            new LoadExchange() {
                @Override
                public Optional<UpstreamLoads> own() {
                    return Optional.empty();
                }

                @Override
                public void received(UpstreamLoads loads, long nowMillis) {}
            };

    /**
     * Returns the load of this router on the upstreams.
     *
     * @return the report, or empty if nothing is reported
     */
    Optional<UpstreamLoads> own();

    /**
     * Receives the load of another router.
     *
     * @param loads its report
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void received(UpstreamLoads loads, long nowMillis);
}
