package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.function.LongSupplier;
import org.bronzewheel.claim.ClaimService;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;

/**
 * What the execution of requests is given.
 *
 * @param clients the clients of the upstreams
 * @param workers places for attempts
 * @param retries the rule of retries
 * @param claims the claims of idempotency keys
 * @param costs receives the cost of attempts
 * @param metrics receives counts
 * @param tracing makes spans
 * @param scheduler runs timers
 * @param nanoClock the monotonic clock
 */
record ExecutionServices(
        StageClients clients,
        WorkerSource workers,
        RetryRule retries,
        ClaimService claims,
        CostSink costs,
        RouterMetrics metrics,
        Tracing tracing,
        Scheduler scheduler,
        LongSupplier nanoClock) {}
