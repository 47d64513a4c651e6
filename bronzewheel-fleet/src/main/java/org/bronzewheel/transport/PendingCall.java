package org.bronzewheel.transport;

import io.netty.util.concurrent.ScheduledFuture;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.wire.PeerFrame;

/** A call that awaits its reply; confined to the event loop of its connection. */
final class PendingCall {
    private final long id;
    private final SingleEmitter<byte[]> emitter;
    private ScheduledFuture<?> timeout;
    private boolean written;

    PendingCall(long id, SingleEmitter<byte[]> emitter) {
        this.id = id;
        this.emitter = emitter;
    }

    long id() {
        return id;
    }

    void setTimeout(ScheduledFuture<?> timeout) {
        this.timeout = timeout;
    }

    void markWritten() {
        written = true;
    }

    void complete(PeerFrame reply) {
        cancelTimeout();
        if (reply.getErrorCode().isEmpty()) {
            emitter.onSuccess(reply.getPayload().toByteArray());
            return;
        }
        emitter.tryOnError(
                new BronzewheelException(
                        parseCode(reply.getErrorCode()),
                        Outcome.FAILED,
                        "the peer " + reply.getFromVmId() + " ended the call with an error",
                        null));
    }

    void fail(ErrorCode code, String message) {
        cancelTimeout();
        Outcome outcome = written ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        emitter.tryOnError(new BronzewheelException(code, outcome, message, null));
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    private static ErrorCode parseCode(String name) {
        try {
            return ErrorCode.valueOf(name);
        } catch (IllegalArgumentException e) {
            // A peer of another version may use codes that are unknown to this one.
            return ErrorCode.INTERNAL;
        }
    }
}
