package org.bronzewheel.steward;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The claim of this router to the lease of one pool. */
final class LeaseHolder {
    private final StewardSettings settings;
    private final Set<String> grants = new HashSet<>();
    private boolean held;
    private long untilNanos;
    private long round;
    private long askedNanos;
    private boolean asked;

    LeaseHolder(StewardSettings settings) {
        this.settings = settings;
    }

    long round() {
        return round;
    }

    boolean mustAsk(long nowNanos) {
        return !asked || nowNanos - askedNanos >= nanos(settings.renewMillis());
    }

    void ask(long newRound, long nowNanos) {
        asked = true;
        round = newRound;
        askedNanos = nowNanos;
        grants.clear();
    }

    /** Takes a grant; the lease counts from when it was asked for. */
    void grant(String vmId, long grantedRound, int quorum) {
        if (!asked || grantedRound != round) {
            return;
        }
        grants.add(vmId);
        if (grants.size() >= quorum) {
            held = true;
            untilNanos = askedNanos + nanos(settings.leaseMillis());
        }
    }

    boolean holds(long nowNanos) {
        return held && nowNanos - untilNanos < 0;
    }

    /** Tells whether the lease outlasts an order that leaves now. */
    boolean outlastsAnOrder(long nowNanos) {
        return held && untilNanos - nowNanos > nanos(settings.sendMarginMillis());
    }

    void giveUp() {
        held = false;
        asked = false;
        grants.clear();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
