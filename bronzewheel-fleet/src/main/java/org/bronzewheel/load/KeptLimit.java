package org.bronzewheel.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The books of the keeper of one limit: what was lent to it, and what it has granted. */
final class KeptLimit {
    private record Entry(double amountPerSecond, long untilNanos) {}

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private final Map<String, Entry> loans = new HashMap<>();
    private final Map<String, Entry> grants = new HashMap<>();
    private boolean called;
    private long callRound;
    private long calledNanos;

    KeptLimit(LimitSettings settings, Set<LimitRule> rules) {
        this.settings = settings;
        this.rules = rules;
    }

    boolean mustCall(long nowNanos) {
        return !called || nowNanos - calledNanos >= nanos(settings.callMillis());
    }

    void call(long round, long nowNanos) {
        called = true;
        callRound = round;
        calledNanos = nowNanos;
    }

    /** Books a loan; it counts from the call, which was before the lender heard of it. */
    void lend(String lender, long round, double amountPerSecond) {
        if (called && round == callRound) {
            long untilNanos = calledNanos + nanos(settings.loanMillis());
            loans.put(lender, new Entry(amountPerSecond, untilNanos));
        }
    }

    /** Grants what is left of the loans that outlast the grant, up to the wish. */
    double grant(String borrower, double wishPerSecond, long nowNanos) {
        long untilNanos = nowNanos + nanos(settings.grantMillis());
        grants.values().removeIf(grant -> grant.untilNanos() - nowNanos <= 0);
        loans.values().removeIf(loan -> loan.untilNanos() - nowNanos <= 0);
        double covered =
                loans.values().stream()
                        .filter(loan -> loan.untilNanos() - untilNanos >= 0)
                        .mapToDouble(Entry::amountPerSecond)
                        .sum();
        // A grant that is still in force adds up with the next one until it has run out.
        double granted = grants.values().stream().mapToDouble(Entry::amountPerSecond).sum();
        Entry own = grants.get(borrower);
        double ownPerSecond = own == null ? 0 : own.amountPerSecond();
        double left = covered - (granted - ownPerSecond);
        double fair = covered / Math.max(1, grants.size() + (own == null ? 1 : 0));
        double amount = Math.max(0, Math.min(wishPerSecond, Math.min(left, Math.max(fair, 0))));
        if (!rules.contains(LimitRule.GRANTS_ARE_COVERED)) {
            amount = wishPerSecond;
        }
        double booked = Math.max(amount, ownPerSecond);
        grants.put(borrower, new Entry(booked, untilNanos));
        return amount;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
