package org.bronzewheel.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections whose reads take much processor time for their size take turns, such as those
 * that send chunks of one byte. While one was handled, the event loop served nobody else, so that
 * the next one waits as long as that took: all of them together get at most about half of the event
 * loop's time. Used on one event loop only.
 */
public final class ReadTurns {
    /** More parts than ordinary requests have in one read. */
    private static final int COSTLY_PARTS = 256;

    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Longer pauses would let one stall of the whole process delay all costly connections. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Queue<Channel> waiting = new ArrayDeque<>();
    private boolean scheduled;
    private long nextTurnNanos;
    private long delayedReads;

    /** Creates a record without connections. */
    public ReadTurns() {}

    /**
     * Returns how many reads had to wait for their turn.
     *
     * @return the number since the start
     */
    public long delayedReads() {
        return delayedReads;
    }

    /**
     * Called when what was read from a connection has been handled.
     *
     * @param channel the connection
     * @param parts the number of fields, requests and chunks in it
     * @param startNanos when it was read
     */
    void readCompleted(Channel channel, int parts, long startNanos) {
        if (parts < COSTLY_PARTS || !channel.config().isAutoRead()) {
            return;
        }
        delayedReads++;
        channel.config().setAutoRead(false);
        waiting.add(channel);
        long nowNanos = System.nanoTime();
        long pauseNanos = Math.min(MAX_PAUSE_NANOS, nowNanos - startNanos);
        if (nowNanos + pauseNanos - nextTurnNanos > 0) {
            nextTurnNanos = nowNanos + pauseNanos;
        }
        if (!scheduled) {
            schedule(channel.eventLoop(), pauseNanos);
        }
    }

    private void schedule(EventLoop eventLoop, long nanos) {
        scheduled = true;
        Future<?> unused =
                eventLoop.schedule(
                        () -> nextTurn(eventLoop),
                        Math.max(MIN_PAUSE_NANOS, nanos),
                        TimeUnit.NANOSECONDS);
    }

    private void nextTurn(EventLoop eventLoop) {
        scheduled = false;
        long leftNanos = nextTurnNanos - System.nanoTime();
        if (leftNanos <= 0) {
            resumeNext();
        }
        if (!waiting.isEmpty()) {
            schedule(eventLoop, leftNanos);
        }
    }

    private void resumeNext() {
        Channel next = waiting.poll();
        while (next != null && !next.isActive()) {
            next = waiting.poll();
        }
        if (next != null) {
            next.config().setAutoRead(true);
        }
    }
}
