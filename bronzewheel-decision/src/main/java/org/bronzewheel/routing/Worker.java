package org.bronzewheel.routing;

import org.bronzewheel.inventory.Upstream;

/** The state of one worker as one router sees it. */
final class Worker {
    private static final double SLOWNESS_SMOOTHING = 0.1;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 10;
    private static final double MIN_RAMP = 0.1;

    final Upstream upstream;
    final InFlightHistory history = new InFlightHistory();
    long rampFromNanos;
    int ownInFlight;
    int othersInFlight;
    long reportSequence = -1;
    long reportObservedNanos;
    boolean reported;
    double slowness = 1;
    int badCallsInRow;
    boolean leaving;
    boolean selected;
    boolean ejected;
    boolean probing;
    long ejectedUntilNanos;
    long ejectionNanos;
    int position = -1;

    Worker(Upstream upstream, long rampFromNanos) {
        this.upstream = upstream;
        this.rampFromNanos = rampFromNanos;
    }

    void addOwn(int change, long nowNanos) {
        history.changed(nowNanos, ownInFlight);
        ownInFlight += change;
    }

    void apply(LoadReport report) {
        if (report.sequence() <= reportSequence) {
            return;
        }
        int ownThen = history.inFlightAt(report.observedNanos(), ownInFlight);
        othersInFlight = Math.max(0, report.inFlight() + report.queued() - ownThen);
        reportSequence = report.sequence();
        reportObservedNanos = report.observedNanos();
        reported = true;
    }

    /** Estimates calls of all routers; with age the report gives way to the usual load. */
    double estimatedLoad(double usualOthers, long halfLifeNanos, long nowNanos) {
        if (!reported) {
            return ownInFlight + usualOthers;
        }
        double age = Math.max(0, nowNanos - reportObservedNanos);
        double trust = Math.pow(2, -age / halfLifeNanos);
        return ownInFlight + trust * othersInFlight + (1 - trust) * usualOthers;
    }

    void observeSlowness(double ratio) {
        double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, ratio));
        slowness += SLOWNESS_SMOOTHING * (bounded - slowness);
    }

    /** Returns the part of its share that a worker in slow start gets. */
    double ramp(long slowStartNanos, long nowNanos) {
        double part = (double) (nowNanos - rampFromNanos) / slowStartNanos;
        return Math.max(MIN_RAMP, Math.min(1, part));
    }
}
