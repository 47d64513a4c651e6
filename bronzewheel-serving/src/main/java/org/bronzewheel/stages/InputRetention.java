package org.bronzewheel.stages;

/**
 * The time from the sending of a call until its upstream has read the inputs. It is learned: a
 * large call takes long over a slow link, and inputs that are given up too early cost their whole
 * request.
 */
final class InputRetention {
    private static final double LEAST_MILLIS = 40;
    private static final double MOST_MILLIS = 640;
    private static final double GROWTH = 2;
    private static final double DECAY = 0.98;

    private double millis = LEAST_MILLIS;
    private long allUntilMillis = Long.MIN_VALUE / 2;

    /** Holds all inputs as long as possible, as upstreams may be busy with calls of others. */
    void useMaximumUntil(long untilMillis) {
        allUntilMillis = untilMillis;
    }

    long millis(long nowMillis) {
        return Math.round(nowMillis < allUntilMillis ? MOST_MILLIS : millis);
    }

    /** Books whether a call found inputs gone that had been given up while it ran. */
    void observe(boolean gone) {
        millis =
                gone
                        ? Math.min(MOST_MILLIS, millis * GROWTH)
                        : Math.max(LEAST_MILLIS, millis * DECAY);
    }
}
