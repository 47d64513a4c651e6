package org.bronzewheel.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Keeps one connection inside the limits of all connections. */
final class ConnectionGuard extends ChannelDuplexHandler {
    /**
     * The bytes of one connection that are read and handled before other connections are. Netty's
     * default of up to 1 MB became some 170,000 chunks or 13,000 requests.
     */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final int MIN_READ_BYTES = 1 << 10;
    private static final int FIRST_READ_BYTES = 4 << 10;

    private final Channel channel;
    private final ConnectionLimits limits;
    private final ConnectionProgress progress;
    private final HeadMemory.Connection heads;
    private final UnsentMemory.Connection unsent;
    private long endedResponses;

    private ConnectionGuard(Channel channel, ConnectionLimits limits, ConnectionProgress progress) {
        this.channel = channel;
        this.limits = limits;
        this.progress = progress;
        heads = limits.heads().add(progress::isWaiting, this::close);
        unsent = limits.unsent().add(this::pendingBytes, this::close);
    }

    /**
     * Adds the limits to a connection; called before the first byte is read, after the other
     * handlers were installed.
     */
    static void install(
            HttpConnection connection, ConnectionLimits limits, ConnectionProgress progress) {
        Channel channel = ((ConnectionBase) connection).channel();
        ChannelPipeline pipeline = channel.pipeline();
        ConnectionGuard guard = new ConnectionGuard(channel, limits, progress);
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1));
        pipeline.addBefore("closeLogger", "connectionGuard", guard);
        // Behind the record of progress, so that requests that are held back count as waiting.
        pipeline.addAfter("idleConnection", "pipelinedRequests", new PipelinedRequests(progress));
        pipeline.get(StrictRequestDecoder.class).limit(guard.heads, limits.turns());
        limits.connections().add(guard);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        limits.connections().used(this);
        super.channelReadComplete(context);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        ChannelPromise written = promise.unvoid();
        written.addListener(sent -> unsent.sent());
        super.write(context, message, written);
        unsent.written();
        while (endedResponses < progress.writtenResponses()) {
            endedResponses++;
            heads.responseEnded();
            limits.connections().used(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        limits.connections().remove(this);
        heads.closed();
        unsent.closed();
        super.channelInactive(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        unsent.sent();
        super.channelWritabilityChanged(context);
    }

    private long pendingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    void close() {
        Future<?> unused = channel.close();
    }

    /** Returns whether a whole request waits for its response. */
    boolean isWaiting() {
        return progress.isWaiting();
    }

    /** Returns whether a written response has not left this process yet. */
    boolean isSending() {
        return progress.isSending();
    }

    /** Returns whether a request has been answered. */
    boolean hasBeenAnswered() {
        return endedResponses > 0;
    }
}
