package org.bronzewheel.telemetry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;

/** The metrics of one router; {@code docs/CONFIGURATION.md} has the table of their names. */
public final class RouterMetrics {
    /** Requests that ended, by request class, pipeline, outcome and code. */
    public static final String REQUESTS = "bronzewheel.requests";

    /** Requests that were refused before they ran, by request class and code. */
    public static final String REFUSALS = "bronzewheel.requests.refused";

    /** Time from arrival to the end, by request class and outcome. */
    public static final String REQUEST_DURATION = "bronzewheel.request.duration";

    /** Requests answered whole within their deadline, by request class. */
    public static final String WITHIN_DEADLINE = "bronzewheel.requests.within.deadline";

    /** Attempts that ended, by pool and outcome. */
    public static final String ATTEMPTS = "bronzewheel.attempts";

    /** Time from sending to the end of an attempt, by pool. */
    public static final String ATTEMPT_DURATION = "bronzewheel.attempt.duration";

    /** Answers of superseded attempts that were dropped, by pool. */
    public static final String LATE_ANSWERS = "bronzewheel.late.answers";

    /** Claims of idempotency keys, by decision. */
    public static final String CLAIMS = "bronzewheel.claims";

    /** Worker milliseconds consumed, by pipeline, stage and kind. */
    public static final String COST_WORKER = "bronzewheel.cost.worker.millis";

    /** Tokens consumed, by pipeline, stage and kind. */
    public static final String COST_TOKENS = "bronzewheel.cost.tokens";

    /** Requests that this router holds and that have not ended. */
    public static final String IN_PROGRESS = "bronzewheel.requests.in.progress";

    /** The revision of the configuration in force. */
    public static final String CONFIGURATION_REVISION = "bronzewheel.configuration.revision";

    /** Refused configuration documents that are remembered, at most 16. */
    public static final String CONFIGURATION_REFUSALS = "bronzewheel.configuration.refusals";

    /** The revision of the VM list in use. */
    public static final String VM_LIST_REVISION = "bronzewheel.vm.list.revision";

    /** 1 while the router reports ready, 0 else. */
    public static final String READY = "bronzewheel.ready";

    private static final String CLASS = "request_class";
    private static final String PIPELINE = "pipeline";
    private static final String STAGE = "stage";
    private static final String OUTCOME = "outcome";
    private static final String POOL = "pool";
    private static final String CODE = "code";
    private static final String KIND = "kind";

    private final PrometheusMeterRegistry registry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Creates the metrics with those of the process. */
    @SuppressWarnings("resource")
    public RouterMetrics() {
        new JvmMemoryMetrics().bindTo(registry);
        new JvmGcMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
    }

    /**
     * Returns all metrics.
     *
     * @return Prometheus text
     */
    public String scrape() {
        return registry.scrape();
    }

    /**
     * Registers a gauge.
     *
     * @param name its name, one of the constants
     * @param value read at each scrape
     */
    public void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Books the end of a request.
     *
     * @param requestClass its request class
     * @param pipeline its pipeline
     * @param outcome how it ended
     * @param code the code of its error, null for an answered one
     * @param elapsedNanos time since its arrival, in nanoseconds
     * @param withinDeadline whether the deadline had not passed
     */
    public void requestEnded(
            String requestClass,
            String pipeline,
            Outcome outcome,
            ErrorCode code,
            long elapsedNanos,
            boolean withinDeadline) {
        counter(
                REQUESTS,
                CLASS,
                requestClass,
                PIPELINE,
                pipeline,
                OUTCOME,
                outcome.name(),
                CODE,
                code == null ? "" : code.name());
        Timer.builder(REQUEST_DURATION)
                .tags(CLASS, requestClass, OUTCOME, outcome.name())
                .publishPercentiles(0.5, 0.95, 0.99)
                .register(registry)
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
        if (outcome == Outcome.ANSWERED && withinDeadline) {
            counter(WITHIN_DEADLINE, CLASS, requestClass);
        }
    }

    /**
     * Books a request that was refused before it ran.
     *
     * @param requestClass its request class, empty where it is not known
     * @param code the reason
     */
    public void requestRefused(String requestClass, ErrorCode code) {
        counter(REFUSALS, CLASS, requestClass, CODE, code.name());
    }

    /**
     * Returns how requests ended, refused ones included.
     *
     * @return counts by outcome, by request class
     */
    public Map<String, Map<String, Long>> outcomes() {
        Map<String, Map<String, Long>> outcomes = new TreeMap<>();
        for (Counter counter : registry.find(REQUESTS).counters()) {
            add(outcomes, counter, counter.getId().getTag(OUTCOME));
        }
        for (Counter counter : registry.find(REFUSALS).counters()) {
            add(outcomes, counter, Outcome.NOT_RUN.name());
        }
        return outcomes;
    }

    private static void add(
            Map<String, Map<String, Long>> outcomes, Counter counter, String outcome) {
        outcomes.computeIfAbsent(counter.getId().getTag(CLASS), name -> new TreeMap<>())
                .merge(outcome, (long) counter.count(), Long::sum);
    }

    /**
     * Books the end of an attempt.
     *
     * @param pool its pool
     * @param outcome how it ended
     * @param elapsedNanos time since its begin, in nanoseconds
     */
    public void attemptEnded(String pool, Outcome outcome, long elapsedNanos) {
        counter(ATTEMPTS, POOL, pool, OUTCOME, outcome.name());
        Timer.builder(ATTEMPT_DURATION)
                .tags(POOL, pool)
                .publishPercentiles(0.5, 0.95, 0.99)
                .register(registry)
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Books an answer that came too late to be used.
     *
     * @param pool its pool
     */
    public void lateAnswer(String pool) {
        counter(LATE_ANSWERS, POOL, pool);
    }

    /**
     * Books the decision of a claim.
     *
     * @param decision {@code GRANTED}, {@code HELD} or the code of the refusal
     */
    public void claimDecided(String decision) {
        counter(CLAIMS, "decision", decision);
    }

    /**
     * Books the cost of an attempt.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param kind why the cost arose
     * @param usage what was consumed
     */
    public void cost(String pipeline, String stage, String kind, Usage usage) {
        String[] tags = {PIPELINE, pipeline, STAGE, stage, KIND, kind};
        registry.counter(COST_WORKER, tags).increment((double) usage.workerMillis());
        registry.counter(COST_TOKENS, tags)
                .increment((double) (usage.promptTokens() + usage.completionTokens()));
    }

    private void counter(String name, String... tags) {
        Counter counter = registry.counter(name, tags);
        counter.increment();
    }
}
