package org.bronzewheel.load;

import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What this router may spend of one limit: its share, less what it lent, plus what it was granted.
 */
final class OwnShare {
    private static final double HEADROOM = 2;
    private static final double KEPT_PART = 0.1;
    private static final double WISH_PART = 0.8;

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private double demandPerSecond;
    private String lentTo;
    private double lentPerSecond;
    private long lentUntilNanos;
    private double grantedPerSecond;
    private long grantedUntilNanos;
    private long wishRound;
    private long wishedNanos;
    private boolean wished;

    OwnShare(LimitSettings settings, Set<LimitRule> rules) {
        this.settings = settings;
        this.rules = rules;
    }

    void setDemand(double newDemandPerSecond) {
        demandPerSecond = newDemandPerSecond;
    }

    double allowedPerSecond(double basePerSecond, long nowNanos) {
        boolean lent = isLent(nowNanos) && rules.contains(LimitRule.LENDER_DOES_WITHOUT);
        boolean granted =
                wished
                        && (nowNanos - grantedUntilNanos < 0
                                || !rules.contains(LimitRule.GRANTS_RUN_OUT));
        double allowed = basePerSecond;
        allowed -= lent ? lentPerSecond : 0;
        allowed += granted ? grantedPerSecond : 0;
        return Math.max(0, allowed);
    }

    /** Tells whether it is time to ask for more. */
    boolean mustWish(double basePerSecond, long nowNanos) {
        boolean due = !wished || nowNanos - wishedNanos >= nanos(settings.wishMillis());
        return due && demandPerSecond > WISH_PART * basePerSecond;
    }

    /** Begins a wish and returns its amount. */
    double wish(long round, double basePerSecond, long nowNanos) {
        wished = true;
        wishRound = round;
        wishedNanos = nowNanos;
        return Math.max(0, HEADROOM * demandPerSecond - basePerSecond);
    }

    /** Takes a grant; it counts from the wish, which was before the keeper granted it. */
    void grant(long round, double amountPerSecond) {
        if (wished && round == wishRound) {
            grantedPerSecond = amountPerSecond;
            grantedUntilNanos = wishedNanos + nanos(settings.grantMillis());
        }
    }

    /** Lends what is not needed; 0 where nothing can be lent to this keeper. */
    double lend(String keeper, double basePerSecond, long nowNanos) {
        boolean lent = isLent(nowNanos);
        if (lent && !keeper.equals(lentTo)) {
            return 0;
        }
        double spare =
                basePerSecond - Math.max(HEADROOM * demandPerSecond, KEPT_PART * basePerSecond);
        if (spare <= 0 || (lent && spare < lentPerSecond)) {
            return 0;
        }
        // A loan in force is renewed as it is, so that an older message cannot count for more.
        lentPerSecond = lent ? lentPerSecond : spare;
        lentTo = keeper;
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
