package org.bronzewheel.transport;

import com.google.protobuf.CodedInputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.bronzewheel.wire.PeerFrame;

/** Decodes length-prefixed frames and rejects frames that exceed the size limit. */
final class FrameDecoder extends ByteToMessageDecoder {
    private static final int MAX_LENGTH_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;

    private final int maxFrameBytes;
    private final TransportMeter meter;

    FrameDecoder(int maxFrameBytes, TransportMeter meter) {
        this.maxFrameBytes = maxFrameBytes;
        this.meter = meter;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws IOException {
        int start = in.readerIndex();
        long length = readLength(in);
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("a frame of " + length + " bytes");
        }
        if (length < 0 || in.readableBytes() < length) {
            in.readerIndex(start);
            return;
        }
        ByteBuf body = in.readSlice((int) length);
        out.add(PeerFrame.parseFrom(CodedInputStream.newInstance(body.nioBuffer())));
        meter.frameReceived(in.readerIndex() - start);
    }

    /** Reads a varint, or returns -1 if it is incomplete. */
    private static long readLength(ByteBuf in) {
        long length = 0;
        for (int i = 0; i < MAX_LENGTH_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte next = in.readByte();
            length |= (long) (next & 0x7f) << (PAYLOAD_BITS * i);
            if (next >= 0) {
                return length;
            }
        }
        throw new CorruptedFrameException("frame length is not a 32-bit varint");
    }
}
