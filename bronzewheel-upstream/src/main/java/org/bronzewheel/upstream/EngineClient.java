package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;

/** A client of model engines, which reads completions as streams and resumes broken ones. */
public final class EngineClient implements StageClient {
    static final String COMPLETIONS_PATH = "/v1/completions";

    private final HttpClient client;
    private final UpstreamSettings settings;
    private final LeavingListener leaving;

    /**
     * Creates a client.
     *
     * @param client carries the calls; stays open
     * @param settings limits
     * @param leaving told when an answer says that its upstream is leaving
     */
    public EngineClient(HttpClient client, UpstreamSettings settings, LeavingListener leaving) {
        this.client = client;
        this.settings = settings;
        this.leaving = leaving;
    }

    @Override
    public Single<StageAnswer> call(StageCall call, TokenListener tokens) {
        Buffer body = Json.write(body(call));
        return Single.create(
                emitter ->
                        new CompletionExchange(client, settings, leaving, call, tokens, emitter)
                                .start(body, () -> cancelQuietly(call)));
    }

    @Override
    public Completable cancel(StageCall call) {
        return Cancels.send(client, call, HttpMethod.DELETE, COMPLETIONS_PATH);
    }

    private void cancelQuietly(StageCall call) {
        cancel(call).onErrorComplete().subscribe();
    }

    private static ObjectNode body(StageCall call) {
        return Json.object()
                .put("model", call.stage().model())
                .put("prompt", prompt(call.input()))
                .put("max_tokens", call.stage().maxTokens())
                .put("stream", true)
                .put("priority", call.priority())
                .put("user", call.workspace())
                .put("request_id", call.attemptId().toString());
    }

    private static String prompt(JsonNode input) {
        return input.isTextual() ? input.textValue() : input.toString();
    }
}
