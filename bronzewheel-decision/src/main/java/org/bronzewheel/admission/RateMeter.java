package org.bronzewheel.admission;

/** A meter of the rate at which work leaves a queue while the queue is not empty. */
final class RateMeter {
    private static final long WINDOW_NANOS = 100_000_000L;
    private static final double SMOOTHING = 0.3;

    private double ratePerNano;
    private boolean known;
    private long windowStartNanos;
    private double windowCost;
    private boolean running;

    /** Starts measuring; called when the queue gets its first piece of work. */
    void begin(long nowNanos) {
        running = true;
        windowStartNanos = nowNanos;
        windowCost = 0;
    }

    /** Stops measuring; called when the queue runs empty. */
    void end() {
        running = false;
    }

    void add(double cost, long nowNanos) {
        roll(nowNanos);
        windowCost += cost;
    }

    void roll(long nowNanos) {
        long elapsedNanos = nowNanos - windowStartNanos;
        if (!running || elapsedNanos < WINDOW_NANOS) {
            return;
        }
        double measured = windowCost / elapsedNanos;
        ratePerNano = known ? ratePerNano + SMOOTHING * (measured - ratePerNano) : measured;
        known = true;
        windowStartNanos = nowNanos;
        windowCost = 0;
    }

    boolean isKnown() {
        return known;
    }

    /** Returns the rate in units of cost per nanosecond. */
    double ratePerNano() {
        return ratePerNano;
    }
}
