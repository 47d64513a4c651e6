package org.bronzewheel.frontdoor;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** A reader of request bodies up to a limit. */
final class LimitedBody {
    private final HttpServerRequest request;
    private final int maxBytes;
    private final Buffer body = Buffer.buffer();
    private final Promise<Buffer> promise = Promise.promise();

    private LimitedBody(HttpServerRequest request, int maxBytes) {
        this.request = request;
        this.maxBytes = maxBytes;
    }

    static Future<Buffer> read(HttpServerRequest request, int maxBytes) {
        return new LimitedBody(request, maxBytes).start();
    }

    private Future<Buffer> start() {
        request.exceptionHandler(promise::tryFail);
        request.handler(this::append);
        request.endHandler(end -> promise.tryComplete(body));
        return promise.future();
    }

    private void append(Buffer chunk) {
        if (promise.future().isComplete()) {
            return;
        }
        if (body.length() + chunk.length() > maxBytes) {
            promise.fail(
                    new BronzewheelException(
                            ErrorCode.REQUEST_TOO_LARGE,
                            "the body exceeds " + maxBytes + " bytes"));
            return;
        }
        body.appendBuffer(chunk);
    }
}
