package org.bronzewheel.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.bronzewheel.wire.PeerFrame;

/**
 * The handler of connections that this router has opened. It pings a peer that sends nothing after
 * a write, and closes the connection if the ping is not answered.
 */
final class OutboundHandler extends FrameHandler {
    private final Peer self;
    private final PeerConnection connection;
    private final TransportMeter meter;
    private boolean awaitingResponse;
    private boolean pingPending;

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
    void frameReceived(ChannelHandlerContext context, PeerFrame frame) {
        awaitingResponse = false;
        pingPending = false;
    }

    void frameWritten() {
        awaitingResponse = true;
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
            checkResponse(context);
        } else if (connection.isUnused()) {
            NettyChannels.close(context.channel());
        }
    }

    private void checkResponse(ChannelHandlerContext context) {
        if (pingPending) {
            meter.connectionBroken();
            NettyChannels.close(context.channel());
        } else if (awaitingResponse) {
            pingPending = true;
            NettyChannels.write(context.channel(), ping(self, false));
        }
    }
}
