package org.bronzewheel.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/** A reader of whole response bodies up to a limit. */
final class BodyReader {
    private final HttpClientResponse response;
    private final int maxBytes;
    private final Buffer body = Buffer.buffer();
    private boolean ended;

    private BodyReader(HttpClientResponse response, int maxBytes) {
        this.response = response;
        this.maxBytes = maxBytes;
    }

    static void read(
            HttpClientResponse response,
            int maxBytes,
            Consumer<Buffer> whole,
            Consumer<Throwable> incomplete) {
        new BodyReader(response, maxBytes).start(whole, incomplete);
    }

    private void start(Consumer<Buffer> whole, Consumer<Throwable> incomplete) {
        response.exceptionHandler(cause -> end(() -> incomplete.accept(cause)));
        response.handler(chunk -> append(chunk, incomplete));
        response.endHandler(done -> end(() -> whole.accept(body)));
    }

    private void append(Buffer chunk, Consumer<Throwable> incomplete) {
        if (ended) {
            return;
        }
        if (body.length() + chunk.length() > maxBytes) {
            end(() -> incomplete.accept(new IllegalStateException("more than the limit in bytes")));
            response.request().reset();
            return;
        }
        body.appendBuffer(chunk);
    }

    private void end(Runnable action) {
        if (ended) {
            return;
        }
        ended = true;
        action.run();
    }
}
