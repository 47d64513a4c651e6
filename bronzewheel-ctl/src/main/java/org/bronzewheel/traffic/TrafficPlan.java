package org.bronzewheel.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;

/** A generator of the requests of an open-loop load, the same for the same seed. */
public final class TrafficPlan {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int HUNDRED_PERCENT = 100;
    private static final int TOPICS = 12;

    private final Configuration configuration;
    private final TrafficMix mix;
    private final TrafficSettings settings;
    private final SplittableRandom random;
    private final String runId;
    private final long beganAtEpochMillis;

    /**
     * Creates a generator.
     *
     * @param configuration the pipelines, request classes and workspaces
     * @param mix the shares of the kinds
     * @param settings rate, duration and seed
     * @param beganAtEpochMillis when the load begins; keys carry their times
     */
    public TrafficPlan(
            Configuration configuration,
            TrafficMix mix,
            TrafficSettings settings,
            long beganAtEpochMillis) {
        this.configuration = configuration;
        this.mix = mix;
        this.settings = settings;
        this.beganAtEpochMillis = beganAtEpochMillis;
        this.random = new SplittableRandom(settings.seed());
        // Upstreams may have seen an earlier load of the same seed.
        this.runId = Long.toString(beganAtEpochMillis, Character.MAX_RADIX);
    }

    /**
     * Generates the requests; the times between them are exponentially distributed.
     *
     * @return the requests in order of their times
     */
    public List<PlannedRequest> requests() {
        List<PlannedRequest> requests = new ArrayList<>();
        double atMillis = nextGapMillis();
        while (atMillis < settings.durationMillis()) {
            if (isWithinRamp(atMillis)) {
                requests.add(request((long) atMillis, requests.size()));
            }
            atMillis += nextGapMillis();
        }
        return requests;
    }

    /** Thins the begin of the load out, as a balancer does with routers that just started. */
    private boolean isWithinRamp(double atMillis) {
        return atMillis >= settings.rampMillis()
                || random.nextDouble() * settings.rampMillis() < atMillis;
    }

    private double nextGapMillis() {
        return -Math.log(1 - random.nextDouble())
                * MILLIS_PER_SECOND
                / settings.requestsPerSecond();
    }

    private PlannedRequest request(long atMillis, int number) {
        TrafficKind kind = mix.draw(random);
        Pipeline pipeline = configuration.rules().pipeline(kind.pipeline()).orElseThrow();
        RequestClass requestClass =
                configuration.rules().requestClass(kind.requestClass()).orElseThrow();
        boolean keyed =
                percent(
                        pipeline.idempotent()
                                ? settings.keyedPercent()
                                : settings.nonIdempotentKeyedPercent());
        boolean twice = keyed && percent(settings.twicePercent());
        String nonce = runId + "-" + number;
        return new PlannedRequest(
                atMillis,
                kind,
                workspace(),
                nonce,
                input(nonce),
                keyed ? KeyGenerator.next(beganAtEpochMillis + atMillis, random) : "",
                percent(settings.streamedPercent()),
                twice,
                pipeline.idempotent(),
                requestClass.deadlineMillis());
    }

    private String workspace() {
        List<Workspace> workspaces = configuration.inventory().workspaces();
        return workspaces.get(random.nextInt(workspaces.size())).name();
    }

    private JsonNode input(String nonce) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("topic", "topic-" + random.nextInt(TOPICS))
                .put("nonce", nonce)
                .put("question", "question " + random.nextInt());
    }

    private boolean percent(int percent) {
        return random.nextInt(HUNDRED_PERCENT) < percent;
    }
}
