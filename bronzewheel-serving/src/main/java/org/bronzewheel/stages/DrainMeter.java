package org.bronzewheel.stages;

import java.util.ArrayDeque;
import java.util.Deque;

/** A meter of the time that each piece takes while pieces wait, whatever holds them back. */
final class DrainMeter {
    private static final long WINDOW_MILLIS = 1_500;

    private final Deque<Taken> taken = new ArrayDeque<>();
    private long waitingSinceMillis;
    private boolean waiting;
    private int pieces;

    private record Taken(int pieces, long atMillis) {}

    /** Books whether pieces wait. */
    void observe(boolean anyWaiting, long nowMillis) {
        if (anyWaiting && !waiting) {
            waitingSinceMillis = nowMillis;
        }
        waiting = anyWaiting;
    }

    /** Books pieces that went into a call. */
    void took(int count, long nowMillis) {
        taken.add(new Taken(count, nowMillis));
        pieces += count;
    }

    /** Returns the time of a piece in milliseconds; 0 where pieces have not waited for long. */
    double millisPerPiece(long nowMillis) {
        while (!taken.isEmpty() && taken.peek().atMillis() < nowMillis - WINDOW_MILLIS) {
            pieces -= taken.poll().pieces();
        }
        if (!waiting || nowMillis - waitingSinceMillis < WINDOW_MILLIS) {
            return 0;
        }
        return (double) WINDOW_MILLIS / Math.max(1, pieces);
    }
}
