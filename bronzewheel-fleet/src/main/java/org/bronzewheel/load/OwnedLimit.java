package org.bronzewheel.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** State of one limit at its owner: the loans that it received and the grants that it made. */
final class OwnedLimit {
    private record Entry(double amountPerSecond, long expiresNanos) {}

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private final Map<String, Entry> loans = new HashMap<>();
    private final Map<String, Entry> grants = new HashMap<>();
    private boolean loansRequested;
    private long loanRound;
    private long loanRequestNanos;

    OwnedLimit(LimitSettings settings, Set<LimitRule> rules) {
        this.settings = settings;
        this.rules = rules;
    }

    boolean isLoanRequestDue(long nowNanos) {
        return !loansRequested
                || nowNanos - loanRequestNanos >= nanos(settings.loanRequestMillis());
    }

    void startLoanRequest(long round, long nowNanos) {
        loansRequested = true;
        loanRound = round;
        loanRequestNanos = nowNanos;
    }

    /** Records a loan; its duration counts from the loan request, which precedes the loan. */
    void recordLoan(String lender, long requestRound, double amountPerSecond) {
        if (loansRequested && requestRound == loanRound) {
            long expiresNanos = loanRequestNanos + nanos(settings.loanMillis());
            loans.put(lender, new Entry(amountPerSecond, expiresNanos));
        }
    }

    /**
     * Grants what remains of the loans that outlast the grant, up to the requested amount and an
     * equal part for each borrower.
     */
    double grant(String borrower, double requestedPerSecond, long nowNanos) {
        long expiresNanos = nowNanos + nanos(settings.grantMillis());
        grants.values().removeIf(grant -> grant.expiresNanos() - nowNanos <= 0);
        loans.values().removeIf(loan -> loan.expiresNanos() - nowNanos <= 0);
        double covered =
                loans.values().stream()
                        .filter(loan -> loan.expiresNanos() - expiresNanos >= 0)
                        .mapToDouble(Entry::amountPerSecond)
                        .sum();
        // Grants in force use up loans until they expire; the borrower's own counts with the larger
        // of its last and its new amount.
        double granted = grants.values().stream().mapToDouble(Entry::amountPerSecond).sum();
        Entry own = grants.get(borrower);
        double ownPerSecond = own == null ? 0 : own.amountPerSecond();
        double remaining = covered - (granted - ownPerSecond);
        double fairShare = covered / Math.max(1, grants.size() + (own == null ? 1 : 0));
        double amount =
                Math.max(
                        0,
                        Math.min(requestedPerSecond, Math.min(remaining, Math.max(fairShare, 0))));
        if (!rules.contains(LimitRule.GRANTS_ARE_COVERED)) {
            amount = requestedPerSecond;
        }
        double recorded = Math.max(amount, ownPerSecond);
        grants.put(borrower, new Entry(recorded, expiresNanos));
        return amount;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
