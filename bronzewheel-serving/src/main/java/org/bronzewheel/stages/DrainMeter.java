package org.bronzewheel.stages;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures the service time per piece while the queue is not empty, whatever limits it. */
final class DrainMeter {
    private static final long WINDOW_MILLIS = 1_500;

    private final Deque<Sent> sent = new ArrayDeque<>();
    private long nonEmptySinceMillis;
    private boolean waiting;
    private int pieces;

    private record Sent(int pieces, long atMillis) {}

    /** Records whether the queue is not empty. */
    void observe(boolean nonEmpty, long nowMillis) {
        if (nonEmpty && !waiting) {
            nonEmptySinceMillis = nowMillis;
        }
        waiting = nonEmpty;
    }

    /** Records pieces that were sent in a call. */
    void recordSent(int count, long nowMillis) {
        sent.add(new Sent(count, nowMillis));
        pieces += count;
    }

    /**
     * Returns the service time per piece in milliseconds, or 0 if the queue has not been non-empty
     * for a whole window.
     */
    double millisPerPiece(long nowMillis) {
        while (!sent.isEmpty() && sent.peek().atMillis() < nowMillis - WINDOW_MILLIS) {
            pieces -= sent.poll().pieces();
        }
        if (!waiting || nowMillis - nonEmptySinceMillis < WINDOW_MILLIS) {
            return 0;
        }
        return (double) WINDOW_MILLIS / Math.max(1, pieces);
    }
}
