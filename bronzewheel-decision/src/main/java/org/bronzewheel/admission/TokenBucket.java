package org.bronzewheel.admission;

/** A token bucket for this router's share of a rate limit that applies to the whole fleet. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double burstSeconds;
    private double ratePerSecond;
    private double tokens;
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param ratePerSecond this router's share of the rate, in tokens a second
     * @param burstSeconds the size of the bucket, in seconds of its rate; it holds at least 1 token
     * @param nowNanos the current time
     */
    public TokenBucket(double ratePerSecond, double burstSeconds, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.burstSeconds = burstSeconds;
        this.refilledNanos = nowNanos;
        this.tokens = size();
    }

    /**
     * Creates an empty bucket, for a rate that other routers may just have used up in part.
     *
     * @param ratePerSecond this router's share of the rate, in tokens a second
     * @param burstSeconds the size of the bucket, in seconds of its rate; it holds at least 1 token
     * @param nowNanos the current time
     * @return the bucket
     */
    public static TokenBucket empty(double ratePerSecond, double burstSeconds, long nowNanos) {
        TokenBucket bucket = new TokenBucket(ratePerSecond, burstSeconds, nowNanos);
        bucket.tokens = 0;
        return bucket;
    }

    /**
     * Sets the rate; tokens above the new bucket size are discarded.
     *
     * @param newRatePerSecond tokens a second
     * @param nowNanos the current time
     */
    public void setRate(double newRatePerSecond, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        tokens = Math.min(tokens, size());
    }

    /**
     * Takes a token if one is available.
     *
     * @param nowNanos the current time
     * @return whether a token was taken
     */
    public boolean tryTake(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns the time until a token is available.
     *
     * @param nowNanos the current time
     * @return the time in nanoseconds, 0 if a token is available now
     */
    public long nextTokenInNanos(long nowNanos) {
        refill(nowNanos);
        if (tokens >= 1) {
            return 0;
        }
        return (long) Math.ceil((1 - tokens) / ratePerSecond * NANOS_PER_SECOND);
    }

    private void refill(long nowNanos) {
        long elapsedNanos = Math.max(0, nowNanos - refilledNanos);
        tokens = Math.min(size(), tokens + elapsedNanos / NANOS_PER_SECOND * ratePerSecond);
        refilledNanos = Math.max(refilledNanos, nowNanos);
    }

    private double size() {
        return Math.max(1, ratePerSecond * burstSeconds);
    }
}
