package org.bronzewheel.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.bronzewheel.wire.PeerFrame;

/** Encodes frames with a length prefix. */
final class FrameEncoder extends MessageToByteEncoder<PeerFrame> {
    private final TransportMeter meter;

    FrameEncoder(TransportMeter meter) {
        this.meter = meter;
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out)
            throws IOException {
        int before = out.writerIndex();
        frame.writeDelimitedTo(new ByteBufOutputStream(out));
        meter.frameSent(out.writerIndex() - before);
    }
}
