package org.bronzewheel.stages;

import java.util.Optional;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * The parts from which the shared stage work is built.
 *
 * @param catalog the limits of the services
 * @param upstreams the upstreams that may get work
 * @param permits the permits for upstreams that limit what they take
 * @param port the way to them
 * @param transport the way to the other routers
 * @param membership the other routers
 * @param budget the budget of repeats
 * @param loop the thread that owns it all
 */
public record StageDependencies(
        CatalogState catalog,
        UpstreamTable upstreams,
        Permits permits,
        StagePort port,
        PeerTransport transport,
        SeedMembership membership,
        SharedRetryBudget budget,
        Loop loop) {
    /**
     * Builds the shared stage work.
     *
     * @return the service
     */
    public SharedStages build() {
        return new SharedStages(
                transport,
                membership,
                budget,
                loop,
                (service, releaseInputs) ->
                        new StageDispatcher(
                                service,
                                this::pool,
                                upstreams,
                                permits,
                                port,
                                budget,
                                loop,
                                releaseInputs));
    }

    private Optional<StagePool> pool(String service) {
        return catalog.current()
                .flatMap(current -> current.service(service))
                .flatMap(ServiceEntry::stagePool);
    }
}
