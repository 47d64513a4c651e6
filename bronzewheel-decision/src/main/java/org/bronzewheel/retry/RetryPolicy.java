package org.bronzewheel.retry;

import org.bronzewheel.request.Outcome;

/** Decides whether a failed call is retried. */
public final class RetryPolicy {
    /** Attempts that did not run cost little, so more of them are allowed. */
    private static final int MAX_ATTEMPTS_NOT_RUN = 8;

    private final int maxAttempts;
    private final RetryBudget budget;

    /**
     * Creates the policy.
     *
     * @param maxAttempts the maximum number of attempts per stage if the last one may have run
     * @param budget the budget shared by all stages
     */
    public RetryPolicy(int maxAttempts, RetryBudget budget) {
        this.maxAttempts = maxAttempts;
        this.budget = budget;
    }

    /**
     * Decides whether to retry and, if so, takes the retry from the budget.
     *
     * @param outcome the outcome of the last attempt
     * @param idempotent whether the stage is safe to run more than once
     * @param attempts the number of attempts made
     * @param remainingNanos the time until the deadline
     * @param needNanos the expected time of the remaining stages
     * @return whether the stage may be retried
     */
    public boolean tryRetry(
            Outcome outcome,
            boolean idempotent,
            int attempts,
            long remainingNanos,
            long needNanos) {
        int attemptLimit = outcome == Outcome.NOT_RUN ? MAX_ATTEMPTS_NOT_RUN : maxAttempts;
        boolean allowed =
                outcome.mayBeRetried(idempotent)
                        && attempts < attemptLimit
                        && remainingNanos > Math.max(0, needNanos);
        return allowed && budget.tryTake();
    }
}
