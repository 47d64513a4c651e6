package org.bronzewheel.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.stages.StageWait;

/**
 * The expected times of the stages of one request at one moment, by the reports of the stages'
 * owners and the configuration. The reports are looked up once for each service.
 */
final class StageEstimates {
    private final ServingContext context;
    private final ServiceRoute route;
    private final StageProgress progress;
    private final int rank;
    private final Map<String, StageWait> reports = new HashMap<>();

    StageEstimates(ServingContext context, ServiceRoute route, StageProgress progress, int rank) {
        this.context = context;
        this.route = route;
        this.progress = progress;
        this.rank = rank;
    }

    /** Returns what the owner of a service reports. */
    StageWait reported(String service) {
        return reports.computeIfAbsent(
                service, unknown -> context.stages().expectedWait(service, rank));
    }

    private StageWait reported(int stage) {
        return reported(service(stage));
    }

    private String service(int stage) {
        return route.stages().get(stage).service();
    }

    /**
     * Returns the time of a stage without queueing: as configured for a call with only the pieces
     * of this request, or as observed lately, whichever is shorter; 0 if neither is known.
     */
    long leastMillis(int stage) {
        OptionalLong configured = configuredMillis(stage);
        long observedMillis = reported(stage).callMillis();
        if (observedMillis <= 0) {
            return configured.orElse(0);
        }
        return Math.min(observedMillis, configured.orElse(observedMillis));
    }

    /** Returns the least time of a stage behind the queue of its service. */
    long leastQueuedMillis(int stage) {
        return reported(stage).waitMillis() + leastMillis(stage);
    }

    /**
     * Returns the expected time of a stage behind the queue of its service: as observed lately, or
     * else as configured.
     */
    long expectedMillis(int stage) {
        StageWait wait = reported(stage);
        return wait.callMillis() > 0
                ? wait.totalMillis()
                : wait.waitMillis() + configuredMillis(stage).orElse(0);
    }

    private OptionalLong configuredMillis(int stage) {
        Optional<StagePool> pool =
                context.catalog()
                        .current()
                        .flatMap(catalog -> catalog.service(service(stage)))
                        .flatMap(ServiceEntry::stagePool);
        return pool.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.round(pool.get().expectedMillis(progress.piecesOf(stage))));
    }
}
