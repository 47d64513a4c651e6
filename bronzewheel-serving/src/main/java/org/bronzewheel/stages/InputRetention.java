package org.bronzewheel.stages;

/**
 * Adaptive delay between sending a call and releasing its inputs. The delay grows when a call finds
 * released inputs gone and decays otherwise, since a large call over a slow link takes long to read
 * its inputs, and a request fails if its inputs are released too early.
 */
final class InputRetention {
    private static final double MIN_MILLIS = 40;
    private static final double MAX_MILLIS = 640;
    private static final double GROWTH = 2;
    private static final double DECAY = 0.98;

    private double millis = MIN_MILLIS;
    private long maximumUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Uses the maximum delay until the given time, as upstreams may be busy with calls from others.
     */
    void useMaximumUntil(long untilMillis) {
        maximumUntilMillis = untilMillis;
    }

    long millis(long nowMillis) {
        return Math.round(nowMillis < maximumUntilMillis ? MAX_MILLIS : millis);
    }

    /** Records whether a call whose inputs were released while it ran found an input gone. */
    void observe(boolean inputGone) {
        millis =
                inputGone
                        ? Math.min(MAX_MILLIS, millis * GROWTH)
                        : Math.max(MIN_MILLIS, millis * DECAY);
    }
}
