package org.bronzewheel.logging;

import java.util.HashMap;
import java.util.Map;

/** Limits the log lines per second for each kind of line. Not thread-safe. */
public final class LogRateLimiter {
    private static final long WINDOW_MILLIS = 1_000;

    private final int linesPerSecond;
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> dropped = new HashMap<>();
    private long windowStartMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a rate limiter.
     *
     * @param linesPerSecond the maximum number of lines of each kind per second
     */
    public LogRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Requests permission to write a line.
     *
     * @param kind the kind of line
     * @param nowMillis the monotonic clock, in milliseconds
     * @return whether it may be written
     */
    public boolean tryAcquire(String kind, long nowMillis) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            written.clear();
        }
        if (written.merge(kind, 1, Integer::sum) <= linesPerSecond) {
            return true;
        }
        dropped.merge(kind, 1, Integer::sum);
        return false;
    }

    /**
     * Returns and resets the number of lines dropped since the last call.
     *
     * @return the counts by kind
     */
    public Map<String, Integer> drainDropped() {
        Map<String, Integer> counts = Map.copyOf(dropped);
        dropped.clear();
        return counts;
    }
}
