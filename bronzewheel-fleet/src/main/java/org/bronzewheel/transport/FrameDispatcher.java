package org.bronzewheel.transport;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Single;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.PeerFrame;

/** Dispatches messages and calls to the handler of their channel. */
final class FrameDispatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<Integer, MessageListener> listeners = new ConcurrentHashMap<>();
    private final Map<Integer, CallHandler> handlers = new ConcurrentHashMap<>();

    void listen(Channel channel, MessageListener listener) {
        listeners.put(channel.number(), listener);
    }

    void serve(Channel channel, CallHandler handler) {
        handlers.put(channel.number(), handler);
    }

    void dispatchMessage(Peer from, int channel, byte[] payload) {
        MessageListener listener = listeners.get(channel);
        if (listener == null) {
            logger.atFine().log("no listener registered for channel %d", channel);
            return;
        }
        try {
            listener.receive(from, payload);
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("failed to process a message from %s", from);
        }
    }

    Single<byte[]> dispatchCall(Peer from, int channel, byte[] payload) {
        CallHandler handler = handlers.get(channel);
        if (handler == null) {
            return Single.error(
                    new BronzewheelException(
                            ErrorCode.INTERNAL, "no handler registered for channel " + channel));
        }
        return Single.defer(() -> handler.handle(from, payload));
    }

    /** Handles a call and passes the reply frame to the consumer. */
    @SuppressWarnings("CheckReturnValue")
    void serveCall(Peer self, PeerFrame frame, Consumer<PeerFrame> reply) {
        Peer from = new Peer(frame.getFromVmId(), frame.getFromIncarnation());
        PeerFrame.Builder builder =
                PeerFrame.newBuilder()
                        .setFromVmId(self.vmId())
                        .setFromIncarnation(self.incarnation())
                        .setChannel(frame.getChannel())
                        .setCallId(frame.getCallId())
                        .setReply(true);
        dispatchCall(from, frame.getChannel(), frame.getPayload().toByteArray())
                .subscribe(
                        payload ->
                                reply.accept(
                                        builder.setPayload(ByteString.copyFrom(payload)).build()),
                        error ->
                                reply.accept(
                                        builder.setErrorCode(errorCode(error).name()).build()));
    }

    static ErrorCode errorCode(Throwable error) {
        if (error instanceof BronzewheelException known) {
            return known.code();
        }
        logger.atWarning().withCause(error).log("handler of a peer call failed");
        return ErrorCode.INTERNAL;
    }
}
