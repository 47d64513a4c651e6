package org.bronzewheel.routing;

import org.bronzewheel.inventory.Upstream;

/** The state of one worker as seen by one router. */
final class Worker {
    private static final double SLOWNESS_SMOOTHING = 0.1;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 10;
    private static final double MIN_SLOW_START_FRACTION = 0.1;

    final Upstream upstream;
    final InFlightHistory history = new InFlightHistory();
    long slowStartBeginNanos;
    int ownInFlight;
    int othersInFlight;
    long reportSequence = -1;
    long reportObservedNanos;
    boolean reported;
    double slowness = 1;
    int consecutiveBadCalls;
    boolean leaving;
    boolean inSubset;
    boolean ejected;
    boolean probing;
    long ejectedUntilNanos;
    long ejectionNanos;
    int listIndex = -1;

    Worker(Upstream upstream, long slowStartBeginNanos) {
        this.upstream = upstream;
        this.slowStartBeginNanos = slowStartBeginNanos;
    }

    void changeOwnInFlight(int change, long nowNanos) {
        history.recordChange(nowNanos, ownInFlight);
        ownInFlight += change;
    }

    void applyReport(LoadReport report) {
        if (report.sequence() <= reportSequence) {
            return;
        }
        int ownAtReport = history.inFlightAt(report.observedNanos(), ownInFlight);
        othersInFlight = Math.max(0, report.inFlight() + report.queued() - ownAtReport);
        reportSequence = report.sequence();
        reportObservedNanos = report.observedNanos();
        reported = true;
    }

    /**
     * Estimates the calls in flight of all routers. The older the report, the more the estimate
     * relies on the expected load of the other routers.
     */
    double estimatedLoad(double expectedOtherLoad, long halfLifeNanos, long nowNanos) {
        if (!reported) {
            return ownInFlight + expectedOtherLoad;
        }
        double age = Math.max(0, nowNanos - reportObservedNanos);
        double reportWeight = Math.pow(2, -age / halfLifeNanos);
        return ownInFlight + reportWeight * othersInFlight + (1 - reportWeight) * expectedOtherLoad;
    }

    void observeSlowness(double ratio) {
        double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
        slowness += SLOWNESS_SMOOTHING * (bounded - slowness);
    }

    /**
     * Returns the fraction of its full load that a worker in slow start may get, 1 after the slow
     * start.
     */
    double slowStartFraction(long slowStartNanos, long nowNanos) {
        double part = (double) (nowNanos - slowStartBeginNanos) / slowStartNanos;
        return Math.max(MIN_SLOW_START_FRACTION, Math.min(1, part));
    }
}
