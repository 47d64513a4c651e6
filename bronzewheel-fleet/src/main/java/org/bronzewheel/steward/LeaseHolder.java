package org.bronzewheel.steward;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The lease of one pool from the side of the router that requests it. */
final class LeaseHolder {
    private final StewardSettings settings;
    private final Set<String> grants = new HashSet<>();
    private boolean held;
    private long expiresNanos;
    private long round;
    private long requestedNanos;
    private boolean requested;

    LeaseHolder(StewardSettings settings) {
        this.settings = settings;
    }

    long round() {
        return round;
    }

    boolean isRequestDue(long nowNanos) {
        return !requested || nowNanos - requestedNanos >= nanos(settings.renewMillis());
    }

    void startRequest(long newRound, long nowNanos) {
        requested = true;
        round = newRound;
        requestedNanos = nowNanos;
        grants.clear();
    }

    /** Records a grant; the duration of the lease is counted from its request. */
    void recordGrant(String vmId, long grantedRound, int quorum) {
        if (!requested || grantedRound != round) {
            return;
        }
        grants.add(vmId);
        if (grants.size() >= quorum) {
            held = true;
            expiresNanos = requestedNanos + nanos(settings.leaseMillis());
        }
    }

    boolean isHeld(long nowNanos) {
        return held && nowNanos - expiresNanos < 0;
    }

    /** Returns whether the lease lasts longer than an order that is sent now may take. */
    boolean outlastsOrder(long nowNanos) {
        return held && expiresNanos - nowNanos > nanos(settings.sendMarginMillis());
    }

    void release() {
        held = false;
        requested = false;
        grants.clear();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
