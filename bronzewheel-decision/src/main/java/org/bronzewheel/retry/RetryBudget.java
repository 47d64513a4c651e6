package org.bronzewheel.retry;

/** A budget of retries shared by all stages: a token bucket fed by successes. */
public final class RetryBudget {
    private final double tokensPerSuccess;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerSuccess retries that one success allows, below 1
     * @param maxTokens the largest number of retries that can be saved up
     */
    public RetryBudget(double tokensPerSuccess, double maxTokens) {
        this.tokensPerSuccess = tokensPerSuccess;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Books a call that was answered. */
    public void onSuccess() {
        tokens = Math.min(maxTokens, tokens + tokensPerSuccess);
    }

    /**
     * Takes a retry where there is one.
     *
     * @return whether the retry may be made
     */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
