package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Closes connections that are idle between two requests, or that stall while a request or a
 * response is transferred.
 *
 * <p>No timeout runs while a request waits for its response: how long that may take is for the
 * server to decide.
 */
final class IdleConnectionHandler extends IdleStateHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String VERTX_HANDLER = "handler";

    /** The time without progress after which a transfer is given up. */
    private static final long STALL_MILLIS = 60_000;

    private static final long MIN_IDLE_MILLIS = 100;

    private final LongSupplier idleTimeoutMillis;
    private final long checkIntervalMillis;
    private final ConnectionProgress progress;
    private long idleMillis;

    private IdleConnectionHandler(
            LongSupplier idleTimeoutMillis, long checkIntervalMillis, ConnectionProgress progress) {
        super(true, 0, 0, checkIntervalMillis, TimeUnit.MILLISECONDS);
        this.progress = progress;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.checkIntervalMillis = checkIntervalMillis;
    }

    /**
     * Adds a handler to a connection; called before the first byte is read.
     *
     * @param connection the connection
     * @param idleTimeoutMillis supplies the time that a connection may be idle between two
     *     requests, in milliseconds
     */
    static void install(HttpConnection connection, LongSupplier idleTimeoutMillis) {
        long checkIntervalMillis =
                Math.min(STALL_MILLIS, Math.max(MIN_IDLE_MILLIS, idleTimeoutMillis.getAsLong()));
        ConnectionProgress progress = new ConnectionProgress();
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.addBefore(VERTX_HANDLER, "closeLogger", new ConnectionCloseLogger(progress));
        pipeline.addBefore(
                VERTX_HANDLER,
                "idleConnection",
                new IdleConnectionHandler(idleTimeoutMillis, checkIntervalMillis, progress));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        progress.received(message);
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        ChannelPromise written = promise.unvoid();
        progress.written(message, written);
        super.write(context, message, written);
    }

    @Override
    protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
        idleMillis = event.isFirst() ? checkIntervalMillis : idleMillis + checkIntervalMillis;
        long timeoutMillis =
                progress.isTransferring() ? STALL_MILLIS : idleTimeoutMillis.getAsLong();
        if (!progress.isWaiting() && idleMillis >= timeoutMillis) {
            logger.atFine().log(
                    "closing an idle connection: caller=%s idleMillis=%d transferring=%b",
                    context.channel().remoteAddress(), idleMillis, progress.isTransferring());
            Future<?> unused = context.close();
        }
    }
}
