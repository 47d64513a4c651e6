package org.bronzewheel.admission;

/**
 * Measures the rate at which a pool dispatches work, counting only the time in which its queue is
 * not empty.
 */
final class RateMeter {
    private static final long WINDOW_NANOS = 500_000_000L;
    private static final double SMOOTHING = 0.3;

    private double ratePerNano;
    private boolean known;
    private boolean running;
    private long startNanos;
    private long backloggedNanos;

    /** Resumes measuring; called when the queue becomes non-empty. */
    void resume(long nowNanos) {
        running = true;
        startNanos = nowNanos;
    }

    /** Pauses measuring; called when the queue becomes empty. */
    void pause(long nowNanos) {
        backloggedNanos += nowNanos - startNanos;
        running = false;
    }

    /** Returns whether the backlog began before the given time. */
    boolean isMeasuring(long nowNanos) {
        return running && nowNanos > startNanos;
    }

    /**
     * Returns whether the measurement window is complete and {@link #closeWindow} must be called.
     */
    boolean isWindowComplete(long nowNanos) {
        return backloggedTime(nowNanos) >= WINDOW_NANOS;
    }

    /** Ends a window in which work of the given total cost was dispatched. */
    void closeWindow(double cost, long nowNanos) {
        ratePerNano = smooth(ratePerNano, cost / backloggedTime(nowNanos));
        known = true;
        backloggedNanos = 0;
        startNanos = nowNanos;
    }

    /**
     * Updates the smoothed rate of a part of the work, such as one class; called before {@link
     * #closeWindow} of the same window.
     */
    double smoothPart(double partPerNano, double cost, long nowNanos) {
        return smooth(partPerNano, cost / backloggedTime(nowNanos));
    }

    boolean isKnown() {
        return known;
    }

    /** Returns the rate in units of cost per nanosecond. */
    double ratePerNano() {
        return ratePerNano;
    }

    private long backloggedTime(long nowNanos) {
        return backloggedNanos + (running ? nowNanos - startNanos : 0);
    }

    private double smooth(double old, double measured) {
        return known ? old + SMOOTHING * (measured - old) : measured;
    }
}
