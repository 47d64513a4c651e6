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
    private static final String VERTX_HANDLER = "handler";

    /** The time without progress after which a transfer is given up. */
    private static final long STALL_MILLIS = 60_000;

    private static final long MIN_IDLE_MILLIS = 100;

    /**
     * The delay before an idle connection is closed. After a pause of the event loop its timers may
     * run before the sockets are read.
     */
    private static final long READ_MILLIS = 10;

    private final Supplier<ConnectionTimeouts> timeouts;
    private final long checkIntervalMillis;
    private long idleMillis;
    private long idleLimitMillis;
    private long reads;
    private long receivedRequests;
    private long writtenResponses;
    private long flushedResponses;
    private boolean receiving;
    private boolean decoded;
    private boolean receivingHead;
    private long headStartNanos;
    private long headLimitMillis;

    private IdleConnectionHandler(Supplier<ConnectionTimeouts> timeouts, long checkIntervalMillis) {
        super(true, 0, 0, checkIntervalMillis, TimeUnit.MILLISECONDS);
        this.timeouts = timeouts;
        this.checkIntervalMillis = checkIntervalMillis;
        this.idleLimitMillis = timeouts.get().idleMillis();
    }

    /**
     * Adds a handler to a connection; called before the first byte is read.
     *
     * @param connection the connection
     * @param timeouts supplies its timeouts
     */
    static void install(HttpConnection connection, Supplier<ConnectionTimeouts> timeouts) {
        long checkIntervalMillis =
                Math.min(STALL_MILLIS, Math.max(MIN_IDLE_MILLIS, timeouts.get().idleMillis()));
        ((ConnectionBase) connection)
                .channel()
                .pipeline()
                .addBefore(
                        VERTX_HANDLER,
                        "idleConnection",
                        new IdleConnectionHandler(timeouts, checkIntervalMillis));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest) {
            receiving = true;
        }
        if (message instanceof LastHttpContent) {
            receiving = false;
            receivedRequests++;
        }
        decoded = true;
        receivingHead = false;
        super.channelRead(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        reads++;
        if (!decoded && !receiving && !receivingHead) {
            receivingHead = true;
            headStartNanos = System.nanoTime();
            headLimitMillis = timeouts.get().headMillis();
        }
        decoded = false;
        super.channelReadComplete(context);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        ChannelPromise written = promise.unvoid();
        if (message instanceof LastHttpContent && !isInterim(message)) {
            writtenResponses++;
            idleLimitMillis = timeouts.get().idleMillis();
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
        if (isTimedOut()) {
            long readsBefore = reads;
            Future<?> unused =
                    context.executor()
                            .schedule(
                                    () -> closeUnlessRead(context, readsBefore),
                                    READ_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    private boolean isTimedOut() {
        boolean waiting = receivedRequests > writtenResponses;
        boolean transferring = receiving || flushedResponses < writtenResponses;
        idleLimitMillis = Math.max(idleLimitMillis, timeouts.get().idleMillis());
        long timeoutMillis = transferring ? STALL_MILLIS : idleLimitMillis;
        return !waiting && !mayReceiveHead() && idleMillis >= timeoutMillis;
    }

    private boolean mayReceiveHead() {
        long headMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headStartNanos);
        return receivingHead && headMillis < headLimitMillis;
    }

    private void closeUnlessRead(ChannelHandlerContext context, long readsBefore) {
        if (reads == readsBefore) {
            Future<?> unused = context.close();
        }
    }
}
