package org.bronzewheel.loop;

/**
 * A clock for how long nothing was received. It stands still while the loop is stalled, as received
 * data then waits unread in its sockets.
 *
 * <p>It must be read at shorter intervals than {@link #MAX_INTERVAL_MILLIS} while silence is
 * measured; a longer interval counts as a stall.
 */
public final class ReceiveClock {
    /** The longest time between two readings that is not a stall, in milliseconds. */
    public static final long MAX_INTERVAL_MILLIS = 200;

    private final Loop loop;
    private long readAtMillis;
    private long elapsedMillis;

    /**
     * Creates a clock that starts at 0.
     *
     * @param loop the loop on which it is read
     */
    public ReceiveClock(Loop loop) {
        this.loop = loop;
        this.readAtMillis = loop.nowMillis();
    }

    /**
     * Reads the clock.
     *
     * @return the time without stalls, in milliseconds
     */
    public long nowMillis() {
        long nowMillis = loop.nowMillis();
        long intervalMillis = nowMillis - readAtMillis;
        readAtMillis = nowMillis;
        if (intervalMillis <= MAX_INTERVAL_MILLIS) {
            elapsedMillis += intervalMillis;
        }
        return elapsedMillis;
    }
}
