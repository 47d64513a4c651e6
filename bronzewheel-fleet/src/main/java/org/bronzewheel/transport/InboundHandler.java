package org.bronzewheel.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import org.bronzewheel.wire.PeerFrame;

/** The handler of connections that peers have opened. */
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
        // Calls are only sent on outbound connections, so no reply is expected here.
        meter.replyDropped();
    }

    @Override
    void frameReceived(ChannelHandlerContext context, PeerFrame frame) {
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
        if (event instanceof IdleStateEvent && !hasOpenCalls()) {
            NettyChannels.close(context.channel());
        }
    }
}
