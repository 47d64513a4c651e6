package org.bronzewheel.budget;

/** A digest of latencies in logarithmic buckets that slowly forgets old observations. */
final class LatencyDigest {
    private static final double BASE = 1.1;
    private static final double LOG_BASE = Math.log(BASE);
    private static final double UNIT_NANOS = 100_000;
    private static final int BUCKETS = 160;
    private static final double MAX_WEIGHT = 2_000;

    private final double[] weights = new double[BUCKETS];
    private double total;
    private long observations;

    void record(long latencyNanos) {
        weights[bucket(latencyNanos)]++;
        total++;
        observations++;
        if (total > MAX_WEIGHT) {
            halve();
        }
    }

    long observations() {
        return observations;
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

    private void halve() {
        for (int i = 0; i < BUCKETS; i++) {
            weights[i] /= 2;
        }
        total /= 2;
    }

    private static int bucket(long latencyNanos) {
        if (latencyNanos <= UNIT_NANOS) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(latencyNanos / UNIT_NANOS) / LOG_BASE);
        return Math.min(BUCKETS - 1, bucket);
    }
}
