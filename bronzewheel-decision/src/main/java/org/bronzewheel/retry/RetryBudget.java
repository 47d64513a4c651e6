package org.bronzewheel.retry;

/** A retry budget shared by all stages: a token bucket that successful calls refill. */
public final class RetryBudget {
    private final double tokensPerSuccess;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerSuccess the number of retries that one success adds, below 1
     * @param maxTokens the maximum number of available retries
     */
    public RetryBudget(double tokensPerSuccess, double maxTokens) {
        this.tokensPerSuccess = tokensPerSuccess;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Records an answered call. */
    public void onSuccess() {
        tokens = Math.min(maxTokens, tokens + tokensPerSuccess);
    }

    /**
     * Takes a retry if one is available.
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
