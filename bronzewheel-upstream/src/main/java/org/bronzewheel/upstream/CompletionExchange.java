package org.bronzewheel.upstream;

import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bronzewheel.error.BronzewheelException;

/** One completion at a model engine, over as many connections as its stream takes. */
final class CompletionExchange {
    private static final int OK = 200;

    private final HttpClient client;
    private final UpstreamSettings settings;
    private final LeavingListener leavingListener;
    private final StageCall call;
    private final SingleEmitter<StageAnswer> emitter;
    private final CompletionText text;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile HttpExchange exchange;
    private volatile boolean leaving;
    private int resumesInRow;
    private long offsetAtResume;

    CompletionExchange(
            HttpClient client,
            UpstreamSettings settings,
            LeavingListener leavingListener,
            StageCall call,
            TokenListener tokens,
            SingleEmitter<StageAnswer> emitter) {
        this.client = client;
        this.settings = settings;
        this.leavingListener = leavingListener;
        this.call = call;
        this.emitter = emitter;
        this.text = new CompletionText(call, settings.maxAnswerBytes(), tokens);
        this.exchange = new HttpExchange(client);
    }

    void start(Buffer body, Runnable cancel) {
        emitter.setCancellable(() -> dispose(cancel));
        exchange.send(
                call.upstream(),
                HttpMethod.POST,
                EngineClient.COMPLETIONS_PATH,
                () -> CallHeaders.of(call),
                body,
                new Start());
    }

    private void read(HttpExchange current, HttpClientResponse response) {
        SseDecoder decoder = new SseDecoder(event -> accept(current, event));
        response.exceptionHandler(cause -> resume(current, cause));
        response.endHandler(end -> resume(current, null));
        response.handler(chunk -> decode(current, decoder, chunk));
    }

    private void decode(HttpExchange current, SseDecoder decoder, Buffer chunk) {
        if (isOver(current)) {
            return;
        }
        try {
            decoder.decode(chunk);
        } catch (BronzewheelException e) {
            fail(e);
            current.abort();
        } catch (IllegalStateException e) {
            fail(Failures.invalid(call, "its stream is malformed", e));
            current.abort();
        }
    }

    private void accept(HttpExchange current, String event) {
        if (isOver(current)) {
            return;
        }
        CompletionText.Progress progress = text.accept(event);
        if (progress == CompletionText.Progress.WHOLE) {
            succeed();
        } else if (progress == CompletionText.Progress.GAP) {
            current.abort();
            resume(current, null);
        }
    }

    private boolean isOver(HttpExchange current) {
        return ended.get() || current != exchange;
    }

    /** Resumes the stream after it broke off or left tokens out. */
    private void resume(HttpExchange broken, Throwable cause) {
        if (isOver(broken)) {
            return;
        }
        if (text.nextOffset() > offsetAtResume) {
            resumesInRow = 0;
        }
        offsetAtResume = text.nextOffset();
        resumesInRow++;
        if (resumesInRow > settings.maxResumes() || !text.canResume()) {
            fail(Failures.invalid(call, "its stream is not whole", cause));
            return;
        }
        sendResume();
    }

    private void sendResume() {
        HttpExchange next = new HttpExchange(client);
        exchange = next;
        if (ended.get()) {
            return;
        }
        String path =
                EngineClient.COMPLETIONS_PATH
                        + "/"
                        + Cancels.encoded(call)
                        + "?offset="
                        + text.nextOffset();
        next.send(
                call.upstream(),
                HttpMethod.GET,
                path,
                this::resumeHeaders,
                Buffer.buffer(),
                new Resume(next));
    }

    private Map<String, String> resumeHeaders() {
        Map<String, String> headers = CallHeaders.of(call);
        headers.remove("Content-Type");
        return headers;
    }

    private void noteLeaving(HttpClientResponse response) {
        if (Boolean.parseBoolean(response.getHeader(CallHeaders.LEAVING))) {
            leaving = true;
            leavingListener.leaving(call.upstream());
        }
    }

    private void succeed() {
        if (ended.compareAndSet(false, true)) {
            emitter.onSuccess(text.answer(leaving));
        }
    }

    private void fail(BronzewheelException error) {
        if (ended.compareAndSet(false, true)) {
            emitter.tryOnError(error);
        }
    }

    private void dispose(Runnable cancel) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        boolean resumed = offsetAtResume > 0 || resumesInRow > 0;
        if (exchange.abort() || resumed) {
            cancel.run();
        }
    }

    /** Takes the response to the first request. */
    private final class Start implements HttpExchange.Receiver {
        private final HttpExchange current = exchange;

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
            noteLeaving(response);
            if (response.statusCode() != OK) {
                fail(Failures.status(call, response.statusCode()));
                return;
            }
            read(current, response);
        }
    }

    /** Takes the response to a resume; the attempt has run, whatever comes. */
    private final class Resume implements HttpExchange.Receiver {
        private final HttpExchange current;

        private Resume(HttpExchange current) {
            this.current = current;
        }

        @Override
        public void notSent(Throwable cause) {
            fail(Failures.broken(call, cause));
        }

        @Override
        public void broken(Throwable cause) {
            resume(current, cause);
        }

        @Override
        public void responded(HttpClientResponse response) {
            noteLeaving(response);
            if (response.statusCode() != OK) {
                fail(Failures.broken(call, null));
                return;
            }
            read(current, response);
        }
    }
}
