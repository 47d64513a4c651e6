package org.bronzewheel.budget;

/** A latency histogram with logarithmic buckets in which old observations decay. */
final class LatencyDigest {
    private static final double BASE = 1.1;
    private static final double LOG_BASE = Math.log(BASE);
    private static final double UNIT_NANOS = 100_000;
    private static final int BUCKETS = 160;
    private static final double MAX_WEIGHT = 2_000;
    private static final double DECAY_AT_MAX_WEIGHT = 0.5;
    private static final double DECAY_PER_REFUSAL = 0.95;

    private final double[] weights = new double[BUCKETS];
    private double total;

    void record(long latencyNanos) {
        weights[bucket(latencyNanos)]++;
        total++;
        if (total > MAX_WEIGHT) {
            scale(DECAY_AT_MAX_WEIGHT);
        }
    }

    /** Returns the total weight of the observations after decay. */
    double weight() {
        return total;
    }

    /**
     * Reduces the weight of all observations after a refusal, so that an estimate that refuses all
     * work expires and new latencies are measured.
     */
    void decayAfterRefusal() {
        scale(DECAY_PER_REFUSAL);
    }

    /** Returns the upper bound of the bucket that contains the quantile, 0 without observations. */
    long quantileNanos(double quantile) {
        double target = total * quantile;
        double cumulative = 0;
        for (int i = 0; i < BUCKETS; i++) {
            cumulative += weights[i];
            if (cumulative >= target && cumulative > 0) {
                return (long) (UNIT_NANOS * Math.pow(BASE, i));
            }
        }
        return 0;
    }

    private void scale(double factor) {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] *= factor;
        }
        total *= factor;
    }

    private static int bucket(long latencyNanos) {
        if (latencyNanos <= UNIT_NANOS) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(latencyNanos / UNIT_NANOS) / LOG_BASE);
        return Math.min(BUCKETS - 1, bucket);
    }
}
