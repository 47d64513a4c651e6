package org.bronzewheel.upstreams;

import java.util.Optional;

/** The newest load that an upstream reported to this router; its weight decays with its age. */
final class LoadReports {
    /** The maximum age of a report, in milliseconds. */
    static final long LIFETIME_MILLIS = 3_000;

    /**
     * The time in which the weight of the reported slowness and queue decays to 1/e, in
     * milliseconds: both change many times a second, and slow times last some 600 ms.
     */
    private static final double DECAY_MILLIS = 400;

    /** The same for the running requests, which change more slowly. */
    private static final double RUNNING_DECAY_MILLIS = 1_000;

    private Optional<ReportedLoad> load = Optional.empty();
    private long heardMillis;

    void report(ReportedLoad newer, long nowMillis) {
        load = Optional.of(newer);
        heardMillis = nowMillis;
    }

    /** Returns whether there is a report that still has weight. */
    boolean isPresent(long nowMillis) {
        return load.isPresent() && nowMillis - heardMillis < LIFETIME_MILLIS;
    }

    /** Returns how long work takes now, relative to usual; 1 without a recent report. */
    double slowness(long nowMillis) {
        return isPresent(nowMillis)
                ? 1 + (load.orElseThrow().slowness() - 1) * weight(DECAY_MILLIS, nowMillis)
                : 1;
    }

    /** Returns the requests that wait; 0 without a recent report. */
    double waiting(long nowMillis) {
        return isPresent(nowMillis)
                ? load.orElseThrow().waiting() * weight(DECAY_MILLIS, nowMillis)
                : 0;
    }

    /** Returns the requests that run; 0 without a recent report. */
    double running(long nowMillis) {
        return isPresent(nowMillis)
                ? load.orElseThrow().running() * weight(RUNNING_DECAY_MILLIS, nowMillis)
                : 0;
    }

    private double weight(double decayMillis, long nowMillis) {
        return Math.exp(Math.min(0.0, (double) (heardMillis - nowMillis)) / decayMillis);
    }
}
