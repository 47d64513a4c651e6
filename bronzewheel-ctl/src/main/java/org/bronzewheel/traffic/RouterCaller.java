package org.bronzewheel.traffic;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** A caller that sends requests to one router at a time. */
public final class RouterCaller {
    private static final int MAX_CONNECTIONS_PER_ROUTER = 512;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 5_000;

    private final Vertx vertx;
    private final HttpClient client;

    /**
     * Creates a caller.
     *
     * @param vertx runs the client
     */
    public RouterCaller(Vertx vertx) {
        this.vertx = vertx;
        HttpClientOptions options = new HttpClientOptions();
        options.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        this.client =
                vertx.createHttpClient(
                        options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ROUTER));
    }

    /**
     * Sends a request once.
     *
     * @param router {@code host:port}
     * @param request the request
     * @return the reply; never an error
     */
    public Single<Reply> send(String router, PlannedRequest request) {
        return Single.create(
                emitter -> {
                    ReplyReader reader =
                            new ReplyReader(vertx, router, request.streamed(), emitter::onSuccess);
                    client.request(options(router, request))
                            .onFailure(e -> reader.notConnected())
                            .onSuccess(sent -> send(sent, request, reader));
                });
    }

    private void send(HttpClientRequest sent, PlannedRequest request, ReplyReader reader) {
        reader.giveUpAfter(request.deadlineMillis() + GRACE_MILLIS, sent);
        ObjectNode body = JsonNodeFactory.instance.objectNode().set("input", request.input());
        sent.send(Buffer.buffer(body.toString()))
                .onFailure(e -> reader.broken())
                .onSuccess(reader::read);
    }

    private static RequestOptions options(String router, PlannedRequest request) {
        int colon = router.lastIndexOf(':');
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(router.substring(0, colon))
                        .setPort(Integer.parseInt(router.substring(colon + 1)))
                        .setURI("/v1/pipelines/" + request.kind().pipeline())
                        .putHeader("Content-Type", "application/json")
                        .putHeader("X-Bronzewheel-Workspace", request.workspace())
                        .putHeader("X-Bronzewheel-Class", request.kind().requestClass());
        if (!request.idempotencyKey().isEmpty()) {
            options.putHeader("Idempotency-Key", request.idempotencyKey());
        }
        if (request.streamed()) {
            options.putHeader("Accept", "text/event-stream");
        }
        return options;
    }
}
