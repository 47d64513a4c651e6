package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Maybe;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** Small JSON calls beside the stages: to the platform, for load reports and for orders. */
final class JsonCalls {
    private static final long MARGIN_MILLIS = 2_000;
    private static final int MAX_BYTES = 8 << 20;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final HttpClient client;
    private final ErrorCode code;

    JsonCalls(HttpClient client, ErrorCode code) {
        this.client = client;
        this.code = code;
    }

    /** Calls; empty at status 304; any other status but 200 is an error. */
    Maybe<JsonNode> call(
            String address, HttpMethod method, String path, JsonNode body, long waitMillis) {
        long timeoutMillis = waitMillis + MARGIN_MILLIS;
        return Maybe.<JsonNode>create(
                        emitter ->
                                request(address, method, path, body)
                                        .onSuccess(
                                                json -> {
                                                    if (json == null) {
                                                        emitter.onComplete();
                                                    } else {
                                                        emitter.onSuccess(json);
                                                    }
                                                })
                                        .onFailure(emitter::tryOnError))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onErrorResumeNext(cause -> Maybe.error(error(address, path, cause)));
    }

    private Future<JsonNode> request(
            String address, HttpMethod method, String path, JsonNode body) {
        int colon = address.lastIndexOf(':');
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(address.substring(0, colon))
                        .setPort(Integer.parseInt(address.substring(colon + 1)))
                        .setURI(path);
        // The body's reader is attached on the event loop, before the body can end.
        return client.request(options)
                .compose(opened -> send(opened, body).compose(JsonCalls::read));
    }

    private static Future<HttpClientResponse> send(HttpClientRequest opened, JsonNode body) {
        if (body == null) {
            return opened.send();
        }
        return opened.putHeader("Content-Type", "application/json").send(Json.write(body));
    }

    private static Future<JsonNode> read(HttpClientResponse response) {
        if (response.statusCode() == NOT_MODIFIED) {
            return Future.succeededFuture();
        }
        if (response.statusCode() != OK) {
            return Future.failedFuture(new StatusException(response.statusCode()));
        }
        return Future.future(
                promise ->
                        BodyReader.read(
                                response,
                                MAX_BYTES,
                                body -> promise.handle(parse(body)),
                                promise::fail));
    }

    private static Future<JsonNode> parse(Buffer body) {
        try {
            return Future.succeededFuture(Json.read(body));
        } catch (java.io.IOException e) {
            return Future.failedFuture(e);
        }
    }

    private BronzewheelException error(String address, String path, Throwable cause) {
        String message = "call of " + address + path.replaceAll("\\?.*", "") + " failed";
        return new BronzewheelException(code, Outcome.UNKNOWN, message, cause);
    }
}
