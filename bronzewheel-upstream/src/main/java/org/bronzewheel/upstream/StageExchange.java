package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.request.Usage;

/** One attempt at a stage pool or plain service, from its sending to its whole answer. */
final class StageExchange implements HttpExchange.Receiver {
    private static final int OK = 200;

    private final HttpExchange exchange;
    private final UpstreamSettings settings;
    private final LeavingListener leaving;
    private final StageCall call;
    private final SingleEmitter<StageAnswer> emitter;
    private final AtomicBoolean ended = new AtomicBoolean();

    StageExchange(
            HttpClient client,
            UpstreamSettings settings,
            LeavingListener leaving,
            StageCall call,
            SingleEmitter<StageAnswer> emitter) {
        this.exchange = new HttpExchange(client);
        this.settings = settings;
        this.leaving = leaving;
        this.call = call;
        this.emitter = emitter;
    }

    void start(String path, Buffer body, Runnable cancel) {
        emitter.setCancellable(() -> dispose(cancel));
        exchange.send(
                call.upstream(), HttpMethod.POST, path, () -> CallHeaders.of(call), body, this);
    }

    @Override
    public void notSent(Throwable cause) {
        fail(Failures.notSent(call, cause));
    }

    @Override
    public void broken(Throwable cause) {
        fail(Failures.broken(call, cause));
    }

    @Override
    public void responded(HttpClientResponse response) {
        boolean isLeaving = Boolean.parseBoolean(response.getHeader(CallHeaders.LEAVING));
        if (isLeaving) {
            leaving.leaving(call.upstream());
        }
        if (response.statusCode() != OK) {
            fail(Failures.status(call, response.statusCode()));
            return;
        }
        if (!call.attemptId().toString().equals(response.getHeader(CallHeaders.ATTEMPT))) {
            fail(Failures.invalid(call, "it echoes another attempt", null));
            return;
        }
        BodyReader.read(
                response,
                settings.maxAnswerBytes(),
                body -> succeed(body, isFramed(response), isLeaving),
                cause -> fail(Failures.invalid(call, "it is incomplete", cause)));
    }

    private static boolean isFramed(HttpClientResponse response) {
        return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
                || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    }

    private void succeed(Buffer body, boolean framed, boolean isLeaving) {
        StageAnswer answer;
        try {
            JsonNode json = Json.read(body);
            // A part of a number is a number, too; a part of any other value is not valid JSON.
            if (json.isNumber() && !framed) {
                throw Failures.invalid(call, "it is a number without a length", null);
            }
            answer = answer(json, isLeaving);
        } catch (IOException e) {
            fail(Failures.invalid(call, "it is not JSON", e));
            return;
        } catch (BronzewheelException e) {
            fail(e);
            return;
        }
        if (ended.compareAndSet(false, true)) {
            emitter.onSuccess(answer);
        }
    }

    private StageAnswer answer(JsonNode json, boolean isLeaving) {
        if (call.pool().kind() == PoolKind.PLAIN_SERVICE) {
            return new StageAnswer(call.attemptId(), json, Usage.NONE, isLeaving);
        }
        if (!json.path("attemptId").asText().equals(call.attemptId().toString())) {
            throw Failures.invalid(call, "its body names another attempt", null);
        }
        if (!json.has("output")) {
            throw Failures.invalid(call, "it has no output", null);
        }
        Usage usage =
                Json.usage(json.path("usage"), "promptTokens", "completionTokens", "workerMillis");
        return new StageAnswer(call.attemptId(), json.get("output"), usage, isLeaving);
    }

    private void fail(BronzewheelException error) {
        if (ended.compareAndSet(false, true)) {
            emitter.tryOnError(error);
        }
    }

    private void dispose(Runnable cancel) {
        if (ended.compareAndSet(false, true) && exchange.abort()) {
            cancel.run();
        }
    }
}
