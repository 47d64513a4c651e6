package org.bronzewheel.admission;

/** A meter of the rate at which a pool takes work while work waits for it. */
final class RateMeter {
    private static final long WINDOW_NANOS = 500_000_000L;
    private static final double SMOOTHING = 0.3;

    private double ratePerNano;
    private boolean known;
    private boolean running;
    private long startNanos;
    private long waitedNanos;

    /** Goes on measuring; called when the first piece of work waits. */
    void begin(long nowNanos) {
        running = true;
        startNanos = nowNanos;
    }

    /** Pauses measuring; called when no work waits any more. */
    void end(long nowNanos) {
        waitedNanos += nowNanos - startNanos;
        running = false;
    }

    /** Tells whether work has waited up to now. */
    boolean isMeasuring(long nowNanos) {
        return running && nowNanos > startNanos;
    }

    /** Tells whether work has waited for a whole window; then {@link #close} is due. */
    boolean isDue(long nowNanos) {
        return waited(nowNanos) >= WINDOW_NANOS;
    }

    /** Closes a window in which work of some cost was taken. */
    void close(double cost, long nowNanos) {
        ratePerNano = smooth(ratePerNano, cost / waited(nowNanos));
        known = true;
        waitedNanos = 0;
        startNanos = nowNanos;
    }

    /** Smooths the rate of a part of the work; called before {@link #close} of the window. */
    double smoothPart(double partPerNano, double cost, long nowNanos) {
        return smooth(partPerNano, cost / waited(nowNanos));
    }

    boolean isKnown() {
        return known;
    }

    /** Returns the rate in units of cost per nanosecond. */
    double ratePerNano() {
        return ratePerNano;
    }

    private long waited(long nowNanos) {
        return waitedNanos + (running ? nowNanos - startNanos : 0);
    }

    private double smooth(double old, double measured) {
        return known ? old + SMOOTHING * (measured - old) : measured;
    }
}
