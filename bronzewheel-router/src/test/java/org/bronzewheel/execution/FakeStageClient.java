package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;
import org.bronzewheel.upstream.StageAnswer;
import org.bronzewheel.upstream.StageCall;
import org.bronzewheel.upstream.StageClient;
import org.bronzewheel.upstream.TokenListener;

/** A fake client whose calls are ended by the test. */
final class FakeStageClient implements StageClient {
    final List<Exchange> calls = new CopyOnWriteArrayList<>();
    final List<StageCall> cancelled = new CopyOnWriteArrayList<>();
    boolean connectsAtOnce = true;

    /** One call, sent once its permit was asked. */
    static final class Exchange {
        final StageCall call;
        private final TokenListener tokens;
        private final SingleSubject<StageAnswer> end = SingleSubject.create();
        boolean sent;

        private Exchange(StageCall call, TokenListener tokens) {
            this.call = call;
            this.tokens = tokens;
        }

        void connect() {
            try {
                sent = call.permit().remainingMillis() > 0;
            } catch (BronzewheelException e) {
                end.onError(e);
            }
        }

        /** Streams a piece, each character of which is a token. */
        void token(long offset, String text) {
            try {
                tokens.token(offset, text.length(), text);
            } catch (BronzewheelException e) {
                end.onError(e);
            }
        }

        void answer(String output) {
            answer(call.attemptId(), output);
        }

        void answer(AttemptId echoed, String output) {
            JsonNode json = TextNode.valueOf(output);
            end.onSuccess(new StageAnswer(echoed, json, new Usage(0, 0, 5), false));
        }

        void fail(ErrorCode code, Outcome outcome) {
            end.onError(new BronzewheelException(code, outcome, "fake", null));
        }

        void fail(BronzewheelException error) {
            end.onError(error);
        }
    }

    @Override
    public Single<StageAnswer> call(StageCall call, TokenListener tokens) {
        return Single.defer(
                () -> {
                    Exchange exchange = new Exchange(call, tokens);
                    calls.add(exchange);
                    if (connectsAtOnce) {
                        exchange.connect();
                    }
                    return exchange.end;
                });
    }

    @Override
    public Completable cancel(StageCall call) {
        return Completable.fromAction(() -> cancelled.add(call));
    }

    Exchange last() {
        return calls.get(calls.size() - 1);
    }
}
