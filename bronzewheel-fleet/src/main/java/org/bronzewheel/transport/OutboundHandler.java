package org.bronzewheel.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.bronzewheel.wire.PeerFrame;

/**
 * The client's side of a connection; closes it where the peer stays silent after it was written to.
 */
final class OutboundHandler extends FrameHandler {
    private final Peer self;
    private final PeerConnection connection;
    private final TransportMeter meter;
    private boolean wroteSinceRead;
    private boolean pinged;

    OutboundHandler(
            Peer self,
            FrameDispatcher dispatcher,
            TransportMeter meter,
            PeerConnection connection) {
        super(self, dispatcher, meter);
        this.self = self;
        this.meter = meter;
        this.connection = connection;
    }

    @Override
    void receiveReply(PeerFrame frame) {
        connection.receiveReply(frame);
    }

    @Override
    void noteFrame(ChannelHandlerContext context, PeerFrame frame) {
        wroteSinceRead = false;
        pinged = false;
    }

    void noteWrite() {
        wroteSinceRead = true;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.disconnected(context.channel());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            checkSilence(context);
        } else if (connection.isUnused()) {
            NettyChannels.close(context.channel());
        }
    }

    private void checkSilence(ChannelHandlerContext context) {
        if (pinged) {
            meter.connectionBroken();
            NettyChannels.close(context.channel());
        } else if (wroteSinceRead) {
            pinged = true;
            NettyChannels.write(context.channel(), ping(self, false));
        }
    }
}
