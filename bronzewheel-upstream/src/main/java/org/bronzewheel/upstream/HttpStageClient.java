package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.bronzewheel.inventory.PoolKind;

/** A client of stage pools and of plain services. */
public final class HttpStageClient implements StageClient {
    private static final String STAGE_PATH = "/v1/stage";

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
    public HttpStageClient(HttpClient client, UpstreamSettings settings, LeavingListener leaving) {
        this.client = client;
        this.settings = settings;
        this.leaving = leaving;
    }

    @Override
    public Single<StageAnswer> call(StageCall call, TokenListener tokens) {
        ObjectNode body = Json.object();
        body.set("input", call.input());
        Buffer bytes = Json.write(body);
        return Single.create(
                emitter ->
                        new StageExchange(client, settings, leaving, call, emitter)
                                .start(path(call), bytes, () -> cancelQuietly(call)));
    }

    @Override
    public Completable cancel(StageCall call) {
        if (call.pool().kind() == PoolKind.PLAIN_SERVICE) {
            return Completable.complete();
        }
        return Cancels.send(client, call, HttpMethod.DELETE, STAGE_PATH);
    }

    private void cancelQuietly(StageCall call) {
        cancel(call).onErrorComplete().subscribe();
    }

    private static String path(StageCall call) {
        return call.pool().kind() == PoolKind.PLAIN_SERVICE ? call.stage().path() : STAGE_PATH;
    }
}
