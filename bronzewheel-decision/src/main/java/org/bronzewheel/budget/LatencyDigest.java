package org.bronzewheel.budget;

/** A digest of latencies in logarithmic buckets that slowly forgets old observations. */
final class LatencyDigest {
    private static final double BASE = 1.1;
    private static final double LOG_BASE = Math.log(BASE);
    private static final double UNIT_NANOS = 100_000;
    private static final int BUCKETS = 160;
    private static final double MAX_WEIGHT = 2_000;
    private static final double KEPT_BY_AGE = 0.5;
    private static final double KEPT_BY_REFUSAL = 0.95;

    private final double[] weights = new double[BUCKETS];
    private double total;

    void record(long latencyNanos) {
        weights[bucket(latencyNanos)]++;
        total++;
        if (total > MAX_WEIGHT) {
            scale(KEPT_BY_AGE);
        }
    }

    /** Returns the weight of what is remembered, in observations. */
    double weight() {
        return total;
    }

    /** Forgets a part, so that an estimate which refuses all work fades and is made anew. */
    void fade() {
        scale(KEPT_BY_REFUSAL);
    }

    /** Returns the upper edge of the bucket that holds the quantile, 0 without observations. */
    long quantileNanos(double quantile) {
        double wanted = total * quantile;
        double seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += weights[i];
            if (seen >= wanted && seen > 0) {
                return (long) (UNIT_NANOS * Math.pow(BASE, i));
            }
        }
        return 0;
    }

    private void scale(double kept) {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] *= kept;
        }
        total *= kept;
    }

    private static int bucket(long latencyNanos) {
        if (latencyNanos <= UNIT_NANOS) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(latencyNanos / UNIT_NANOS) / LOG_BASE);
        return Math.min(BUCKETS - 1, bucket);
    }
}
