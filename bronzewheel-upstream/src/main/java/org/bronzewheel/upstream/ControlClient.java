package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Upstream;

/** A client for what upstreams offer beside their stages: load, cache events and orders. */
public final class ControlClient {
    private static final int CONFLICT = 409;

    private final JsonCalls calls;

    /**
     * Creates a client.
     *
     * @param client carries the calls; stays open
     */
    public ControlClient(HttpClient client) {
        this.calls = new JsonCalls(client, ErrorCode.UPSTREAM_BROKEN);
    }

    /**
     * Reads the load of an upstream.
     *
     * @param upstream the upstream
     * @return its report, or an error with code UPSTREAM_BROKEN
     */
    public Single<LoadReport> readLoad(Upstream upstream) {
        return calls.call(upstream.address(), HttpMethod.GET, "/v1/load", null, 0)
                .toSingle()
                .map(
                        json ->
                                new LoadReport(
                                        json.path("inFlight").asInt(),
                                        json.path("queued").asInt(),
                                        json.path("sequence").asLong()));
    }

    /**
     * Reads the cache events of a model engine.
     *
     * @param upstream the engine
     * @param afterSequence the newest event already known, 0 for none
     * @return later events, or an error with code UPSTREAM_BROKEN
     */
    public Single<CacheEvents> readCacheEvents(Upstream upstream, long afterSequence) {
        String path = "/v1/cache-events?after=" + afterSequence;
        return calls.call(upstream.address(), HttpMethod.GET, path, null, 0)
                .toSingle()
                .map(ControlClient::cacheEvents);
    }

    /**
     * Sends an order to a model engine.
     *
     * @param upstream the engine
     * @param fencingNumber the fencing number of the order
     * @param models what the engine shall hold
     * @return the reply; never an error
     */
    public Single<OrderReply> order(
            Upstream upstream, long fencingNumber, List<ModelOrder> models) {
        ObjectNode body = Json.object().put("fencingNumber", fencingNumber);
        ArrayNode list = body.putArray("models");
        models.forEach(model -> list.add(json(model)));
        return calls.call(upstream.address(), HttpMethod.POST, "/v1/orders", body, 0)
                .toSingle()
                .map(ControlClient::reply)
                .onErrorReturn(ControlClient::replyToError);
    }

    private static ObjectNode json(ModelOrder model) {
        ObjectNode json = Json.object().put("model", model.model()).put("version", model.version());
        ArrayNode adapters = json.putArray("adapters");
        model.adapters().forEach(adapters::add);
        return json;
    }

    private static OrderReply reply(JsonNode json) {
        return switch (json.path("state").asText()) {
            case "READY" -> OrderReply.READY;
            case "LOADING" -> OrderReply.LOADING;
            default -> OrderReply.UNKNOWN;
        };
    }

    private static OrderReply replyToError(Throwable error) {
        boolean fenced =
                error instanceof BronzewheelException
                        && error.getCause() instanceof StatusException status
                        && status.status() == CONFLICT;
        return fenced ? OrderReply.FENCED : OrderReply.UNKNOWN;
    }

    private static CacheEvents cacheEvents(JsonNode json) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : json.path("events")) {
            events.add(
                    new CacheEvent(
                            event.path("sequence").asLong(),
                            event.path("kind").asText().equals("STORED"),
                            event.path("prefixHash").asText()));
        }
        return new CacheEvents(List.copyOf(events), json.path("gap").asBoolean());
    }
}
