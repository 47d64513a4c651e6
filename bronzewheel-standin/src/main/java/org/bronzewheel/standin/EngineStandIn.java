package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A stand-in for a model engine: batched sequences, prompt cache, streams that can be resumed and
 * cancelled, and orders.
 */
public final class EngineStandIn extends UpstreamStandIn {
    private static final String COMPLETIONS = "/v1/completions/";
    private static final int CONFLICT = 409;
    private static final int FAILED = 500;
    private static final int MAX_KEPT_SEQUENCES = 2_000;

    private final EngineSettings settings;
    private final HeldModels models;
    private final PrefixCache cache;
    private final Map<String, Sequence> sequences = new LinkedHashMap<>();

    /**
     * Creates a stand-in.
     *
     * @param vertx runs the server
     * @param settings its name, address, capacity and pace
     * @param ledger records its runs
     */
    public EngineStandIn(Vertx vertx, EngineSettings settings, Ledger ledger) {
        super(vertx, settings.upstream(), ledger);
        this.settings = settings;
        this.models =
                new HeldModels(
                        settings.models(), settings.checksFencing(), settings.modelLoadMillis());
        this.cache =
                new PrefixCache(
                        settings.cacheBlocks(),
                        settings.cacheEventLagMillis(),
                        settings.cacheEventLossPercent(),
                        settings.upstream().seed());
    }

    @Override
    void addRoutes(Router router) {
        super.addRoutes(router);
        router.post("/v1/completions").handler(this::complete);
        router.get(COMPLETIONS + "*").handler(this::resume);
        router.delete(COMPLETIONS + "*").handler(this::cancel);
        router.get("/v1/cache-events")
                .handler(c -> answer(c, OK, cache.after(longParameter(c, "after", 0), now())));
        router.get("/v1/models").handler(c -> answer(c, OK, models.listing(now())));
        router.post("/v1/orders").handler(this::order);
    }

    EngineSettings engineSettings() {
        return settings;
    }

    /** Returns the time between two tokens of a sequence under the present batch. */
    long tokenMicros() {
        long extra =
                settings.tokenMicros()
                        * settings.slowdownPercent()
                        * queue().inFlight()
                        / (100L * settings.upstream().workers());
        return settings.tokenMicros() + extra;
    }

    /** Returns the time to read a prompt, in microseconds, shorter for what is cached. */
    long promptMicros(String prompt) {
        int cached = cache.read(prompt, now());
        return (ExpectedAnswers.promptTokens(prompt) - cached) * settings.promptTokenMicros();
    }

    private void complete(RoutingContext context) {
        JsonNode body = PlatformStandIn.requireBody(context);
        CallHeaders headers = CallHeaders.of(context.request());
        CompletionCall call = CompletionCall.of(body, headers);
        if (call == null) {
            answer(context, BAD_REQUEST, Map.of("error", "a field is missing"));
            return;
        }
        Fate fate = drawFate();
        if (fate == Fate.REFUSE || isFull() || !models.isReady(call.model(), now())) {
            refuse(context);
            return;
        }
        Sequence sequence = new Sequence(this, call, fate);
        keep(call.attemptId(), sequence);
        if (fate == Fate.FAIL) {
            sequence.onEnd(() -> answer(context, FAILED, Map.of("error", "planned failure")));
        } else {
            stream(context, sequence, fate, 0);
        }
        sequence.submit();
    }

    private void resume(RoutingContext context) {
        Sequence sequence = find(pathAfter(context, COMPLETIONS));
        if (sequence == null) {
            answer(context, NOT_FOUND, Map.of("error", "unknown attempt"));
            return;
        }
        // A fault breaks the first stream only, so that a resumed one can show the rest.
        stream(context, sequence, Fate.ANSWER, (int) longParameter(context, "offset", 0));
    }

    private void stream(RoutingContext context, Sequence sequence, Fate fate, int offset) {
        HttpServerResponse response = context.response();
        markLeaving(context);
        response.setChunked(true)
                .putHeader(CallHeaders.ATTEMPT, sequence.echoedAttemptId())
                .putHeader("Content-Type", "text/event-stream");
        sequence.addReader(new SequenceReader(response, sequence, fate, offset));
    }

    private void cancel(RoutingContext context) {
        Sequence sequence = find(pathAfter(context, COMPLETIONS));
        boolean cancelled = sequence != null && sequence.cancel();
        answer(context, OK, Map.of("cancelled", cancelled));
    }

    private void order(RoutingContext context) {
        JsonNode body = PlatformStandIn.requireBody(context);
        long number = body.path("fencingNumber").asLong();
        if (!models.order(number, body.path("models"), now())) {
            answer(context, CONFLICT, Map.of("error", "old fencing number"));
            return;
        }
        answer(context, OK, Map.of("state", models.state(now())));
    }

    private Sequence find(String attemptId) {
        synchronized (sequences) {
            return sequences.get(attemptId);
        }
    }

    private void keep(String attemptId, Sequence sequence) {
        synchronized (sequences) {
            sequences.put(attemptId, sequence);
            if (sequences.size() > MAX_KEPT_SEQUENCES) {
                sequences.remove(sequences.keySet().iterator().next());
            }
        }
    }

    /** Returns the newest sequence but for one, or that one where it is alone. */
    Sequence otherThan(Sequence own) {
        synchronized (sequences) {
            return sequences.values().stream()
                    .filter(s -> s != own)
                    .reduce((first, second) -> second)
                    .orElse(own);
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
