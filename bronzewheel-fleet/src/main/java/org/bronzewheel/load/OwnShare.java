package org.bronzewheel.load;

import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What this router may use of one limit: its equal share, less what it lent, plus what it was
 * granted.
 */
final class OwnShare {
    private static final double DEMAND_HEADROOM_FACTOR = 2;
    private static final double MIN_RETAINED_FRACTION = 0.1;
    private static final double REQUEST_THRESHOLD_FRACTION = 0.8;

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private double demandPerSecond;
    private String lentTo;
    private double lentPerSecond;
    private long lentUntilNanos;
    private double grantedPerSecond;
    private long grantedUntilNanos;
    private long requestRound;
    private long requestedNanos;
    private boolean requested;

    OwnShare(LimitSettings settings, Set<LimitRule> rules) {
        this.settings = settings;
        this.rules = rules;
    }

    void setDemand(double newDemandPerSecond) {
        demandPerSecond = newDemandPerSecond;
    }

    double allowedPerSecond(double equalSharePerSecond, long nowNanos) {
        boolean lent = isLent(nowNanos) && rules.contains(LimitRule.LENDER_DOES_WITHOUT);
        boolean granted =
                requested
                        && (nowNanos - grantedUntilNanos < 0
                                || !rules.contains(LimitRule.GRANTS_RUN_OUT));
        double allowed = equalSharePerSecond;
        allowed -= lent ? lentPerSecond : 0;
        allowed += granted ? grantedPerSecond : 0;
        return Math.max(0, allowed);
    }

    /** Returns whether it is time to request more than the equal share. */
    boolean isRequestDue(double equalSharePerSecond, long nowNanos) {
        boolean due = !requested || nowNanos - requestedNanos >= nanos(settings.requestMillis());
        return due && demandPerSecond > REQUEST_THRESHOLD_FRACTION * equalSharePerSecond;
    }

    /** Starts a request and returns its amount. */
    double startRequest(long round, double equalSharePerSecond, long nowNanos) {
        requested = true;
        requestRound = round;
        requestedNanos = nowNanos;
        return Math.max(0, DEMAND_HEADROOM_FACTOR * demandPerSecond - equalSharePerSecond);
    }

    /** Records a grant; its duration counts from the request, which precedes the grant. */
    void recordGrant(long round, double amountPerSecond) {
        if (requested && round == requestRound) {
            grantedPerSecond = amountPerSecond;
            grantedUntilNanos = requestedNanos + nanos(settings.grantMillis());
        }
    }

    /** Lends what is not needed; returns 0 if nothing can be lent to this owner. */
    double lend(String owner, double equalSharePerSecond, long nowNanos) {
        boolean lent = isLent(nowNanos);
        if (lent && !owner.equals(lentTo)) {
            return 0;
        }
        double spare =
                equalSharePerSecond
                        - Math.max(
                                DEMAND_HEADROOM_FACTOR * demandPerSecond,
                                MIN_RETAINED_FRACTION * equalSharePerSecond);
        if (spare <= 0 || (lent && spare < lentPerSecond)) {
            return 0;
        }
        // A loan in force is renewed with the same amount, so that an older message cannot lend
        // more.
        lentPerSecond = lent ? lentPerSecond : spare;
        lentTo = owner;
        lentUntilNanos = nowNanos + nanos(settings.lenderMillis());
        return lentPerSecond;
    }

    private boolean isLent(long nowNanos) {
        return lentTo != null && nowNanos - lentUntilNanos < 0;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
