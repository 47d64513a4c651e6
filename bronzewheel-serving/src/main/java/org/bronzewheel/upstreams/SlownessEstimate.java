package org.bronzewheel.upstreams;

/**
 * A decaying estimate of how slow one process of an upstream is compared with the other upstreams
 * of its service: 1 as usual, 2 for twice the time.
 *
 * <p>The estimate is a geometric mean, and one sample counts for a limited ratio, so that stalls
 * and queues of other callers have little influence. Without recent samples it returns to 1.
 */
final class SlownessEstimate {
    /** The time in which the weight of a sample decays to 1/e, in milliseconds. */
    private static final double DECAY_MILLIS = 120_000;

    /** The weight of the assumption that the upstream is as fast as the others, in samples. */
    private static final double PRIOR_SAMPLES = 3;

    /** The largest logarithm of a ratio: a factor of 3.3. Temporary slowdowns reach 2.5. */
    private static final double MAX_LOG_RATIO = 1.2;

    private double logSum;
    private double weight;
    private long updatedMillis;

    /**
     * Adds a sample.
     *
     * @param ratio the time that the upstream took, relative to the usual time
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void sample(double ratio, long nowMillis) {
        double decay = decay(nowMillis);
        double logRatio = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, Math.log(ratio)));
        logSum = logSum * decay + logRatio;
        weight = weight * decay + 1;
        updatedMillis = nowMillis;
    }

    /**
     * Returns the estimate.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the time that the upstream takes, relative to the usual time
     */
    double slowness(long nowMillis) {
        if (weight == 0) {
            return 1;
        }
        double decay = decay(nowMillis);
        return Math.exp(logSum * decay / (weight * decay + PRIOR_SAMPLES));
    }

    private double decay(long nowMillis) {
        return Math.exp(Math.min(0, updatedMillis - nowMillis) / DECAY_MILLIS);
    }
}
