package org.bronzewheel.overhead;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** A load of a fixed number of calls, each of which begins when an earlier one has ended. */
final class ClosedLoop {
    private static final int HTTP_OK = 200;
    private static final Buffer BODY = Buffer.buffer("{\"input\":{\"nonce\":\"overhead\"}}");

    private final HttpClient client;
    private final CallTarget target;
    private final int calls;
    private final PhaseCost cost;
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final CompletableFuture<Void> end = new CompletableFuture<>();

    ClosedLoop(HttpClient client, CallTarget target, int calls, PhaseCost cost) {
        this.client = client;
        this.target = target;
        this.calls = calls;
        this.cost = cost;
    }

    /** Runs all calls and waits for them; any answer other than 200 is an error. */
    void run(int concurrency) {
        ProcessUsage before = ProcessUsage.now();
        long beginNanos = System.nanoTime();
        for (int i = 0; i < Math.min(concurrency, calls); i++) {
            next();
        }
        end.join();
        long elapsedNanos = System.nanoTime() - beginNanos;
        cost.addRound(calls, ProcessUsage.now().minus(before), elapsedNanos);
    }

    private void next() {
        if (begun.incrementAndGet() > calls) {
            return;
        }
        long beginNanos = System.nanoTime();
        client.request(target.options())
                .compose(request -> request.send(BODY))
                .compose(this::readWhole)
                .onSuccess(body -> callEnded(System.nanoTime() - beginNanos))
                .onFailure(end::completeExceptionally);
    }

    private Future<Buffer> readWhole(HttpClientResponse response) {
        if (response.statusCode() == HTTP_OK) {
            return response.body();
        }
        return response.body()
                .compose(
                        body ->
                                Future.failedFuture(
                                        new BronzewheelException(
                                                ErrorCode.UPSTREAM_FAILED,
                                                Outcome.FAILED,
                                                response.statusCode() + " " + body,
                                                null)));
    }

    private void callEnded(long latencyNanos) {
        synchronized (cost) {
            cost.addLatency(latencyNanos);
        }
        if (ended.incrementAndGet() == calls) {
            end.complete(null);
        } else {
            next();
        }
    }
}
