package org.bronzewheel.retry;

import org.bronzewheel.request.Outcome;

/** The rule by which a call that did not succeed is sent again. */
public final class RetryPolicy {
    /** Attempts that did not run cost little, so that more of them may be made. */
    private static final int MAX_ATTEMPTS_NOT_RUN = 8;

    private final int maxAttempts;
    private final RetryBudget budget;

    /**
     * Creates the rule.
     *
     * @param maxAttempts the largest number of attempts of one stage after one may have run
     * @param budget shared by all stages
     */
    public RetryPolicy(int maxAttempts, RetryBudget budget) {
        this.maxAttempts = maxAttempts;
        this.budget = budget;
    }

    /**
     * Decides on a retry and takes it from the budget.
     *
     * @param outcome the end of the last attempt
     * @param idempotent whether running the stage twice does no harm
     * @param attempts attempts made
     * @param remainingNanos the time until the deadline
     * @param needNanos the time that the remaining stages usually need
     * @return whether the stage may be sent again
     */
    public boolean tryRetry(
            Outcome outcome,
            boolean idempotent,
            int attempts,
            long remainingNanos,
            long needNanos) {
        int maxOfKind = outcome == Outcome.NOT_RUN ? MAX_ATTEMPTS_NOT_RUN : maxAttempts;
        boolean allowed =
                outcome.mayBeRetried(idempotent)
                        && attempts < maxOfKind
                        && remainingNanos > Math.max(0, needNanos);
        return allowed && budget.tryTake();
    }
}
