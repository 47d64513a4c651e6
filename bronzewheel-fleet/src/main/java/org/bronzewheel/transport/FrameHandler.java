package org.bronzewheel.transport;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.wire.PeerFrame;

/** The last handler of a pipeline: dispatches incoming frames and answers pings. */
abstract class FrameHandler extends SimpleChannelInboundHandler<PeerFrame> {
    /** The channel number of pings, which is not part of {@link Channel}. */
    static final int PING_CHANNEL = 0;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Peer self;
    private final FrameDispatcher dispatcher;
    private final TransportMeter meter;
    private final AtomicInteger openCalls = new AtomicInteger();

    FrameHandler(Peer self, FrameDispatcher dispatcher, TransportMeter meter) {
        this.self = self;
        this.dispatcher = dispatcher;
        this.meter = meter;
    }

    /** Handles the reply to a call. */
    abstract void receiveReply(PeerFrame frame);

    /** Called for each frame that the peer sends, before it is dispatched. */
    abstract void frameReceived(ChannelHandlerContext context, PeerFrame frame);

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
        frameReceived(context, frame);
        if (frame.getChannel() == PING_CHANNEL) {
            answerPing(context, frame);
        } else if (frame.getReply()) {
            receiveReply(frame);
        } else if (frame.getCallId() != 0) {
            openCalls.incrementAndGet();
            dispatcher.serveCall(
                    self,
                    frame,
                    reply -> {
                        openCalls.decrementAndGet();
                        NettyChannels.write(context.channel(), reply);
                    });
        } else {
            Peer from = new Peer(frame.getFromVmId(), frame.getFromIncarnation());
            dispatcher.dispatchMessage(from, frame.getChannel(), frame.getPayload().toByteArray());
        }
    }

    /** Returns whether the peer waits for the reply to a call. */
    boolean hasOpenCalls() {
        return openCalls.get() > 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logger.atFine().withCause(cause).log("closing peer connection after an error");
        meter.connectionBroken();
        NettyChannels.close(context.channel());
    }

    static PeerFrame ping(Peer self, boolean reply) {
        return PeerFrame.newBuilder()
                .setFromVmId(self.vmId())
                .setFromIncarnation(self.incarnation())
                .setChannel(PING_CHANNEL)
                .setReply(reply)
                .build();
    }

    private void answerPing(ChannelHandlerContext context, PeerFrame frame) {
        if (!frame.getReply()) {
            NettyChannels.write(context.channel(), ping(self, true));
        }
    }
}
