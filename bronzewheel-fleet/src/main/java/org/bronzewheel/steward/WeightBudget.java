package org.bronzewheel.steward;

/**
 * Limits the model loads of one steward to its share of the weight store's rate.
 *
 * <p>Shares are fixed by the configuration, so that stewards stay within the total rate without
 * communicating. A new steward begins with a debt, because its predecessor may just have started a
 * load.
 */
final class WeightBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double megabytesPerSecond;
    private double debtMegabytes;
    private long updatedNanos;

    /** Creates a budget with the given rate; 0 means no limit. */
    WeightBudget(double megabytesPerSecond, double debtMegabytes, long nowNanos) {
        this.megabytesPerSecond = megabytesPerSecond;
        this.debtMegabytes = debtMegabytes;
        updatedNanos = nowNanos;
    }

    /** Returns whether another load may begin; its size is charged once it may have begun. */
    boolean allows(long nowNanos) {
        update(nowNanos);
        return !isLimited() || debtMegabytes <= 0;
    }

    boolean isLimited() {
        return megabytesPerSecond > 0;
    }

    void charge(double megabytes, long nowNanos) {
        update(nowNanos);
        debtMegabytes += megabytes;
    }

    /** Returns a budget with the same debt and another rate. */
    WeightBudget withRate(double newMegabytesPerSecond, long nowNanos) {
        update(nowNanos);
        return new WeightBudget(newMegabytesPerSecond, debtMegabytes, nowNanos);
    }

    /** Reduces the debt by the elapsed time; unused rate is not carried over. */
    private void update(long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        debtMegabytes = Math.max(0, debtMegabytes - seconds * megabytesPerSecond);
        updatedNanos = nowNanos;
    }
}
