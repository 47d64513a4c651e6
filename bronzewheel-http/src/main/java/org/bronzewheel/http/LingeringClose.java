package org.bronzewheel.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last response although its caller still sends: the rest is skipped,
 * because a close with unread data resets the connection, which may destroy the response.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final long MAX_LINGER_MILLIS = 10_000;
    private static final long MAX_SKIPPED_BYTES = 64 << 20;

    private long skippedBytes;

    private LingeringClose() {}

    /**
     * Closes a connection once its caller has closed it, or after a while. Called on its event loop
     * after the last response was written, which may not be flushed yet.
     *
     * @param connection the connection
     */
    public static void close(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        if (!channel.isActive() || channel.pipeline().get(LingeringClose.class) != null) {
            return;
        }
        channel.pipeline().addFirst("lingeringClose", new LingeringClose());
        ChannelFuture flushed =
                channel.pipeline()
                        .context(LingeringClose.class)
                        .writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (channel instanceof DuplexChannel duplex) {
            flushed.addListener(
                    done -> {
                        Future<?> unused = duplex.shutdownOutput();
                    });
        }
        channel.config().setAutoRead(true);
        Future<?> timeout =
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    Future<?> unused = channel.close();
                                },
                                MAX_LINGER_MILLIS,
                                TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> timeout.cancel(false));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        skippedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            Future<?> unused = context.close();
        }
    }
}
