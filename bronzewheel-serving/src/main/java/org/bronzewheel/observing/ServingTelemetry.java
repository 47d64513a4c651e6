package org.bronzewheel.observing;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bronzewheel.logging.LogRateLimiter;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.serving.RequestObserver;
import org.bronzewheel.serving.RequestOutcome;

/**
 * Logs each decision, within a limit of lines per second, and maintains counters and latency
 * metrics.
 */
public final class ServingTelemetry implements RequestObserver {
    /** Ended requests by route and outcome, with the time since their arrival. */
    public static final String REQUESTS = "bronzewheel.serving.requests";

    /** Decisions about requests, by kind. */
    public static final String DECISIONS = "bronzewheel.serving.decisions";

    /** Log lines dropped by the rate limit, by kind. */
    public static final String DROPPED_LINES = "bronzewheel.log.lines.dropped";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LINES_PER_SECOND = 60;

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final LogRateLimiter budget = new LogRateLimiter(LINES_PER_SECOND);
    private final Loop loop;

    /**
     * Creates telemetry without observations.
     *
     * @param loop the event loop that calls it
     */
    public ServingTelemetry(Loop loop) {
        this.loop = loop;
    }

    @Override
    public void decided(String requestId, Decision decision, String detail) {
        registry.counter(DECISIONS, "kind", decision.name()).increment();
        if (isWritable(decision.name())) {
            logger.atInfo().log("%s request=%s %s", decision, requestId, detail);
        }
    }

    @Override
    public void ended(
            String requestId, String route, RequestOutcome end, String detail, long elapsedMillis) {
        Timer.builder(REQUESTS)
                .tags("route", route, "end", end.name())
                .publishPercentiles(0.5, 0.99)
                .register(registry)
                .record(elapsedMillis, TimeUnit.MILLISECONDS);
        // Failed requests have a separate budget, so that a burst of successful ones cannot hide
        // them.
        String kind = end == RequestOutcome.ANSWERED ? "ENDED" : "FAILED";
        if (isWritable(kind)) {
            logger.atInfo().log(
                    "ENDED request=%s route=%s end=%s detail=%s millis=%d",
                    requestId, route, end, detail, elapsedMillis);
        }
    }

    /** Logs the number of dropped lines. To be called periodically. */
    public void reportDropped() {
        budget.drainDropped()
                .forEach(
                        (kind, lines) -> {
                            registry.counter(DROPPED_LINES, "kind", kind).increment(lines);
                            logger.atWarning().log(
                                    "log lines dropped: kind=%s lines=%d", kind, lines);
                        });
    }

    /**
     * Registers a gauge that is read with each scrape.
     *
     * @param name the name of the metric
     * @param value supplies the value
     */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Returns all metrics as text.
     *
     * @return the metrics in the Prometheus text format
     */
    public String scrape() {
        return registry.scrape();
    }

    private boolean isWritable(String kind) {
        return budget.tryAcquire(kind, loop.nowMillis());
    }
}
