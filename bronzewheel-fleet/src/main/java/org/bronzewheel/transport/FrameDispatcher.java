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

/** The receivers of messages and calls, by channel. */
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

    void message(Peer from, int channel, byte[] payload) {
        MessageListener listener = listeners.get(channel);
        if (listener == null) {
            logger.atFine().log("no listener of channel %d", channel);
            return;
        }
        try {
            listener.receive(from, payload);
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("a message of %s was not understood", from);
        }
    }

    Single<byte[]> call(Peer from, int channel, byte[] payload) {
        CallHandler handler = handlers.get(channel);
        if (handler == null) {
            return Single.error(
                    new BronzewheelException(
                            ErrorCode.INTERNAL, "no server of channel " + channel));
        }
        return Single.defer(() -> handler.handle(from, payload));
    }

    /** Serves a call and hands the frame of its reply over. */
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
        call(from, frame.getChannel(), frame.getPayload().toByteArray())
                .subscribe(
                        payload ->
                                reply.accept(
                                        builder.setPayload(ByteString.copyFrom(payload)).build()),
                        error -> reply.accept(builder.setErrorCode(code(error).name()).build()));
    }

    static ErrorCode code(Throwable error) {
        if (error instanceof BronzewheelException known) {
            return known.code();
        }
        logger.atWarning().withCause(error).log("a call of a peer failed");
        return ErrorCode.INTERNAL;
    }
}
