package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Closes connections that are idle between two requests, or that stall while a request or a
 * response is transferred.
 *
 * <p>A shorter idle timeout does not apply to connections that are already idle, as their callers
 * may rely on the longer one. No timeout runs while a request waits for its response: how long that
 * may take is for the server to decide.
 */
final class IdleConnectionHandler extends IdleStateHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String VERTX_HANDLER = "handler";

    /** The time without progress after which a transfer is given up. */
    private static final long STALL_MILLIS = 60_000;

    private static final long MIN_IDLE_MILLIS = 100;

    /** The delay before an idle connection is closed, in which its socket is read once more. */
    private static final long READ_DELAY_MILLIS = 1;

    /** A longer turn of the event loop may have left bytes that arrived during it unread. */
    private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Supplier<ConnectionTimeouts> timeouts;
    private final long checkIntervalMillis;
    private final ConnectionProgress progress;
    private long idleMillis;
    private long idleLimitMillis;
    private long messages;
    private boolean decodedInRead;
    private boolean receivingHead;
    private long headStartNanos;
    private long headLimitMillis;

    private IdleConnectionHandler(
            Supplier<ConnectionTimeouts> timeouts,
            long checkIntervalMillis,
            ConnectionProgress progress) {
        super(true, 0, 0, checkIntervalMillis, TimeUnit.MILLISECONDS);
        this.timeouts = timeouts;
        this.checkIntervalMillis = checkIntervalMillis;
        this.progress = progress;
        this.idleLimitMillis = timeouts.get().idleMillis();
    }

    /**
     * Adds a handler to a connection; called before the first byte is read.
     *
     * @param connection the connection
     * @param timeouts supplies its timeouts
     * @param progress the progress of its requests, which this handler records
     */
    static void install(
            HttpConnection connection,
            Supplier<ConnectionTimeouts> timeouts,
            ConnectionProgress progress) {
        long checkIntervalMillis =
                Math.min(STALL_MILLIS, Math.max(MIN_IDLE_MILLIS, timeouts.get().idleMillis()));
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.addBefore(VERTX_HANDLER, "closeLogger", new ConnectionCloseLogger(progress));
        pipeline.addBefore(
                VERTX_HANDLER,
                "idleConnection",
                new IdleConnectionHandler(timeouts, checkIntervalMillis, progress));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        progress.received(message);
        messages++;
        decodedInRead = true;
        receivingHead = false;
        super.channelRead(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (!decodedInRead && !progress.isReceiving() && !receivingHead) {
            receivingHead = true;
            headStartNanos = System.nanoTime();
            headLimitMillis = timeouts.get().headMillis();
        }
        decodedInRead = false;
        super.channelReadComplete(context);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        ChannelPromise written = promise.unvoid();
        progress.written(message, written);
        if (message instanceof LastHttpContent) {
            idleLimitMillis = timeouts.get().idleMillis();
        }
        super.write(context, message, written);
    }

    @Override
    protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
        idleMillis = event.isFirst() ? checkIntervalMillis : idleMillis + checkIntervalMillis;
        if (isTimedOut()) {
            closeUnlessRead(context, messages);
        }
    }

    private boolean isTimedOut() {
        idleLimitMillis = Math.max(idleLimitMillis, timeouts.get().idleMillis());
        long timeoutMillis = progress.isTransferring() ? STALL_MILLIS : idleLimitMillis;
        return !progress.isWaiting() && !mayReceiveHead() && idleMillis >= timeoutMillis;
    }

    private boolean mayReceiveHead() {
        long headMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headStartNanos);
        return receivingHead && headMillis < headLimitMillis;
    }

    /**
     * Closes the connection once its socket has been read. After a stall of the event loop, overdue
     * timers run before the sockets are read.
     */
    private void closeUnlessRead(ChannelHandlerContext context, long messagesBefore) {
        long startNanos = System.nanoTime();
        Runnable check =
                () -> {
                    boolean timedOut = messages == messagesBefore && isTimedOut();
                    boolean stalled = System.nanoTime() - startNanos > MAX_TURN_NANOS;
                    if (timedOut && stalled) {
                        closeUnlessRead(context, messagesBefore);
                    } else if (timedOut) {
                        close(context);
                    }
                };
        Future<?> unused =
                context.executor().schedule(check, READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void close(ChannelHandlerContext context) {
        logger.atFine().log(
                "closing an idle connection: caller=%s idleMillis=%d transferring=%b",
                context.channel().remoteAddress(), idleMillis, progress.isTransferring());
        Future<?> unused = context.close();
    }
}
