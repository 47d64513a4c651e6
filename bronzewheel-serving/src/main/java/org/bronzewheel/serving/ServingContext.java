package org.bronzewheel.serving;

import java.util.random.RandomGenerator;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.StageService;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * The parts that the execution of requests works with.
 *
 * @param catalog the catalog in force
 * @param upstreams the upstreams that may get work
 * @param upstreamClient the way to them
 * @param permits the permits for upstreams that limit what they take
 * @param stages the work of stages
 * @param budget the budget of repeats
 * @param engines the choice of model engines
 * @param failureDomain the failure domain of this router
 * @param loop the thread that owns it all
 * @param random draws shares and jitter
 * @param observer takes what became of requests
 */
public record ServingContext(
        CatalogState catalog,
        UpstreamTable upstreams,
        UpstreamClient upstreamClient,
        Permits permits,
        StageService stages,
        SharedRetryBudget budget,
        EngineSelector engines,
        String failureDomain,
        Loop loop,
        RandomGenerator random,
        RequestObserver observer) {}
