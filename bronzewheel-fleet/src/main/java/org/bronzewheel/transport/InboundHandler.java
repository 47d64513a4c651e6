package org.bronzewheel.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import org.bronzewheel.wire.PeerFrame;

/** The server's side of a connection. */
final class InboundHandler extends FrameHandler {
    private final Map<String, io.netty.channel.Channel> inbound;
    private final TransportMeter meter;
    private String vmId;

    InboundHandler(
            Peer self,
            FrameDispatcher dispatcher,
            TransportMeter meter,
            Map<String, io.netty.channel.Channel> inbound) {
        super(self, dispatcher, meter);
        this.meter = meter;
        this.inbound = inbound;
    }

    @Override
    void receiveReply(PeerFrame frame) {
        // Calls leave through outbound connections only.
        meter.replyDropped();
    }

    @Override
    void noteFrame(ChannelHandlerContext context, PeerFrame frame) {
        if (!frame.getFromVmId().equals(vmId)) {
            vmId = frame.getFromVmId();
            inbound.put(vmId, context.channel());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (vmId != null) {
            inbound.remove(vmId, context.channel());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            NettyChannels.close(context.channel());
        }
    }
}
