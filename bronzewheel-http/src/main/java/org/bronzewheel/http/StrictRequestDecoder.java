package org.bronzewheel.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;

/**
 * A decoder that rejects requests with both a Content-Length and a Transfer-Encoding header. The
 * default decoder of Vert.x removes the Content-Length header, so that the ambiguity could not be
 * detected later.
 *
 * <p>It also counts the memory of heads and the number of parts that a read consists of.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    /** The shortest field of a trailer has four bytes. */
    private static final int MIN_FIELD_BYTES = 4;

    private static final int NEWLINE_BYTES = 2;

    private HeadMemory.Connection heads;
    private ReadTurns turns;
    private boolean inBody;
    private boolean failed;
    private int parts;
    private long readNanos;

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the default decoder of a connection; called before the first byte is read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(
                HttpRequestDecoder.class, "httpDecoder", new StrictRequestDecoder(options));
    }

    /** Sets the limits; called before the first byte is read. */
    void limit(HeadMemory.Connection headsOfConnection, ReadTurns readTurns) {
        heads = headsOfConnection;
        turns = readTurns;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (parts == 0) {
            readNanos = System.nanoTime();
        }
        super.channelRead(context, message);
        if (heads != null) {
            heads.setUndecoded(actualReadableBytes());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (turns != null) {
            turns.readCompleted(context.channel(), parts, readNanos);
        }
        parts = 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int start = in.readerIndex();
        int before = out.size();
        super.decode(context, in, out);
        if (heads != null && !failed) {
            count(in, start, out, before);
        }
    }

    private void count(ByteBuf in, int start, List<Object> out, int before) {
        int bytes = in.readerIndex() - start;
        parts += out.size() - before;
        if (!inBody && bytes > 0) {
            int lines = lines(in, start, bytes);
            parts += lines;
            heads.decoded(bytes, lines);
        } else if (out.size() == before && bytes > NEWLINE_BYTES) {
            // The size of a chunk or fields of a trailer.
            heads.decoded(bytes, bytes / MIN_FIELD_BYTES);
        }
        for (int i = before; i < out.size(); i++) {
            countPart((HttpObject) out.get(i));
        }
    }

    private void countPart(HttpObject part) {
        if (part instanceof HttpRequest) {
            heads.headCompleted();
            inBody = true;
        } else {
            heads.skipped();
        }
        if (part instanceof LastHttpContent) {
            inBody = false;
        }
        failed |= part.decoderResult().isFailure();
    }

    private static int lines(ByteBuf in, int start, int bytes) {
        int lines = 0;
        int end = start + bytes;
        int next = in.indexOf(start, end, (byte) '\n');
        while (next >= 0) {
            lines++;
            next = in.indexOf(next + 1, end, (byte) '\n');
        }
        return lines;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
}
