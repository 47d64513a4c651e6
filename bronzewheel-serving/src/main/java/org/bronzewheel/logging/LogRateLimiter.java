package org.bronzewheel.logging;

import java.util.HashMap;
import java.util.Map;

/** A budget of log lines a second for each kind of line. Owned by one thread. */
public final class LogRateLimiter {
    private static final long SECOND_MILLIS = 1_000;

    private final int linesPerSecond;
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> dropped = new HashMap<>();
    private long secondBeganMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a budget.
     *
     * @param linesPerSecond the lines of each kind in a second
     */
    public LogRateLimiter(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /**
     * Asks for a line.
     *
     * @param kind its kind
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it may be written
     */
    public boolean tryAcquire(String kind, long nowMillis) {
        if (nowMillis - secondBeganMillis >= SECOND_MILLIS) {
            secondBeganMillis = nowMillis;
            written.clear();
        }
        if (written.merge(kind, 1, Integer::sum) <= linesPerSecond) {
            return true;
        }
        dropped.merge(kind, 1, Integer::sum);
        return false;
    }

    /**
     * Takes the count of lines that were dropped since the last call.
     *
     * @return the counts by kind
     */
    public Map<String, Integer> drainDropped() {
        Map<String, Integer> taken = Map.copyOf(dropped);
        dropped.clear();
        return taken;
    }
}
