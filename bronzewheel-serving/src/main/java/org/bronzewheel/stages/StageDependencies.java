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
 * The dependencies of {@link SharedStages}.
 *
 * @param catalog the limits of the services
 * @param upstreams the known upstreams
 * @param permits the permits for upstreams with a rate or concurrency limit
 * @param port the client of stage upstreams
 * @param transport the transport to the other routers
 * @param membership the membership of the routers
 * @param budget the retry budget
 * @param loop the event loop on which all stage work runs
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
     * Creates the service.
     *
     * @return the service
     */
    public SharedStages build() {
        return new SharedStages(
                transport,
                membership,
                budget,
                loop,
                this::ranks,
                (service, releaseInputs) ->
                        new StageDispatcher(
                                service,
                                this::pool,
                                upstreams,
                                permits,
                                port,
                                budget,
                                loop,
                                releaseInputs,
                                catalog::shedsByCost));
    }

    private int ranks() {
        return catalog.current().map(current -> current.ranks().count()).orElse(0);
    }

    private Optional<StagePool> pool(String service) {
        return catalog.current()
                .flatMap(current -> current.service(service))
                .flatMap(ServiceEntry::stagePool);
    }
}
