package org.bronzewheel.loop;

import com.google.common.flogger.FluentLogger;

/** Logs and adds up stalls of a loop, during which neither timers run nor sockets are read. */
public final class StallMonitor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long MIN_STALL_MILLIS = 200;

    private final Loop loop;
    private final long periodMillis;
    private long lastTickMillis;
    private long stalledMillis;

    /**
     * Creates a monitor.
     *
     * @param loop the loop to watch
     * @param periodMillis the period at which {@link #tick} is called, in milliseconds
     */
    public StallMonitor(Loop loop, long periodMillis) {
        this.loop = loop;
        this.periodMillis = periodMillis;
        this.lastTickMillis = loop.nowMillis();
    }

    /** Measures how late this call is. To be called periodically on the loop. */
    public void tick() {
        long nowMillis = loop.nowMillis();
        long lateMillis = nowMillis - lastTickMillis - periodMillis;
        lastTickMillis = nowMillis;
        if (lateMillis >= MIN_STALL_MILLIS) {
            stalledMillis += lateMillis;
            logger.atWarning().log("loop stalled: millis=%d", lateMillis);
        }
    }

    /**
     * Returns the total time of all stalls.
     *
     * @return the time in milliseconds
     */
    public long stalledMillis() {
        return stalledMillis;
    }
}
