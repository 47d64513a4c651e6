package org.bronzewheel.upstream;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Cancellations of attempts at their upstreams. */
final class Cancels {
    private Cancels() {}

    static Completable send(HttpClient client, StageCall call, HttpMethod method, String path) {
        return Completable.create(
                emitter ->
                        new HttpExchange(client)
                                .send(
                                        call.upstream(),
                                        method,
                                        path + "/" + encoded(call),
                                        Map::of,
                                        Buffer.buffer(),
                                        new HttpExchange.Receiver() {
                                            @Override
                                            public void notSent(Throwable cause) {
                                                emitter.tryOnError(Failures.notSent(call, cause));
                                            }

                                            @Override
                                            public void broken(Throwable cause) {
                                                emitter.tryOnError(Failures.broken(call, cause));
                                            }

                                            @Override
                                            public void responded(HttpClientResponse response) {
                                                emitter.onComplete();
                                            }
                                        }));
    }

    static String encoded(StageCall call) {
        return URLEncoder.encode(call.attemptId().toString(), StandardCharsets.UTF_8);
    }
}
