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
 * An observer that writes a line for each decision, within a budget of lines a second, and keeps
 * counters and latencies.
 */
public final class ServingTelemetry implements RequestObserver {
    /** Requests that ended, by route and end, with the time from their arrival. */
    public static final String REQUESTS = "bronzewheel.serving.requests";

    /** Decisions about requests, by kind. */
    public static final String DECISIONS = "bronzewheel.serving.decisions";

    /** Log lines that the budget dropped, by kind. */
    public static final String DROPPED_LINES = "bronzewheel.log.lines.dropped";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LINES_PER_SECOND = 60;

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final LogRateLimiter budget = new LogRateLimiter(LINES_PER_SECOND);
    private final Loop loop;

    /**
     * Creates telemetry without any observation.
     *
     * @param loop the thread that calls it
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
        // Failed requests have a budget of their own, so that a burst of good ones hides none.
        String kind = end == RequestOutcome.ANSWERED ? "ENDED" : "FAILED";
        if (isWritable(kind)) {
            logger.atInfo().log(
                    "ENDED request=%s route=%s end=%s detail=%s millis=%d",
                    requestId, route, end, detail, elapsedMillis);
        }
    }

    /** Writes how many lines were dropped; to be called now and then. */
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
     * Adds a value that is read when the metrics are.
     *
     * @param name the name of the metric
     * @param value reads the value
     */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Returns all metrics as text.
     *
     * @return the metrics in Prometheus' text format
     */
    public String scrape() {
        return registry.scrape();
    }

    private boolean isWritable(String kind) {
        return budget.tryAcquire(kind, loop.nowMillis());
    }
}
