package org.bronzewheel.serving;

import java.util.random.RandomGenerator;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.StageService;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * The dependencies of request execution.
 *
 * @param catalog the current catalog
 * @param upstreams the known upstreams
 * @param upstreamClient sends requests to upstreams
 * @param permits the permits for upstreams that limit their requests
 * @param stages runs stages
 * @param budget the retry budget
 * @param engines chooses among model engines
 * @param quarantine the prompt parts that crash model engines
 * @param failureDomain the failure domain of this router
 * @param loop the serving loop, on which all of these are used
 * @param random the source of randomness for traffic splits and jitter
 * @param observer receives decisions and outcomes
 */
public record ServingContext(
        CatalogState catalog,
        UpstreamTable upstreams,
        UpstreamClient upstreamClient,
        Permits permits,
        StageService stages,
        SharedRetryBudget budget,
        EngineSelector engines,
        PromptQuarantine quarantine,
        String failureDomain,
        Loop loop,
        RandomGenerator random,
        RequestObserver observer) {}
