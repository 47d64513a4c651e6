package org.bronzewheel.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
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
    private static final String VERTX_HANDLER = "handler";

    /** The time without progress after which a transfer is given up. */
    private static final long STALL_MILLIS = 60_000;

    private static final long MIN_IDLE_MILLIS = 100;
    private static final long READ_MILLIS = 1;

    /** A longer turn of the event loop may have left bytes that arrived during it unread. */
    private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LongSupplier idleTimeoutMillis;
    private final long checkIntervalMillis;
    private long idleMillis;
    private long messages;
    private long receivedRequests;
    private long writtenResponses;
    private long flushedResponses;
    private boolean receiving;

    private IdleConnectionHandler(LongSupplier idleTimeoutMillis, long checkIntervalMillis) {
        super(true, 0, 0, checkIntervalMillis, TimeUnit.MILLISECONDS);
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
        ((ConnectionBase) connection)
                .channel()
                .pipeline()
                .addBefore(
                        VERTX_HANDLER,
                        "idleConnection",
                        new IdleConnectionHandler(idleTimeoutMillis, checkIntervalMillis));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        messages++;
        if (message instanceof HttpRequest) {
            receiving = true;
        }
        if (message instanceof LastHttpContent) {
            receiving = false;
            receivedRequests++;
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        ChannelPromise written = promise.unvoid();
        if (message instanceof LastHttpContent && !isInterim(message)) {
            writtenResponses++;
            written.addListener(done -> flushedResponses++);
        }
        super.write(context, message, written);
    }

    private static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    @Override
    protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
        idleMillis = event.isFirst() ? checkIntervalMillis : idleMillis + checkIntervalMillis;
        boolean waiting = receivedRequests > writtenResponses;
        boolean transferring = receiving || flushedResponses < writtenResponses;
        long timeoutMillis = transferring ? STALL_MILLIS : idleTimeoutMillis.getAsLong();
        if (!waiting && idleMillis >= timeoutMillis) {
            closeUnlessRead(context, messages);
        }
    }

    /**
     * Closes the connection once its socket has been read. After a stall of the event loop, overdue
     * timers run before the sockets are read.
     */
    private void closeUnlessRead(ChannelHandlerContext context, long messagesBefore) {
        long startNanos = System.nanoTime();
        Runnable check =
                () -> {
                    boolean stalled = System.nanoTime() - startNanos > MAX_TURN_NANOS;
                    if (messages == messagesBefore && stalled) {
                        closeUnlessRead(context, messagesBefore);
                    } else if (messages == messagesBefore) {
                        Future<?> unused = context.close();
                    }
                };
        Future<?> unused = context.executor().schedule(check, READ_MILLIS, TimeUnit.MILLISECONDS);
    }
}
