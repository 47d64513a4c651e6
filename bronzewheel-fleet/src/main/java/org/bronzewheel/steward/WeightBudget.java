package org.bronzewheel.steward;

/**
 * The share of the weight store's rate that one steward may spend.
 *
 * <p>Shares are fixed by the configuration, so that stewards which do not hear of each other keep
 * the rate together. A new steward begins with a debt, as the one before may just have begun a
 * load.
 */
final class WeightBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double megabytesPerSecond;
    private double debtMegabytes;
    private long updatedNanos;

    /** Creates a budget with a share, 0 for no limit. */
    WeightBudget(double megabytesPerSecond, double debtMegabytes, long nowNanos) {
        this.megabytesPerSecond = megabytesPerSecond;
        this.debtMegabytes = debtMegabytes;
        updatedNanos = nowNanos;
    }

    /** Tells whether another load may begin; its size is charged once it is known to have begun. */
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

    /** The same debt under another share. */
    WeightBudget withRate(double newMegabytesPerSecond, long nowNanos) {
        update(nowNanos);
        return new WeightBudget(newMegabytesPerSecond, debtMegabytes, nowNanos);
    }

    /** Pays the debt off; a share that is not spent is not saved up. */
    private void update(long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        debtMegabytes = Math.max(0, debtMegabytes - seconds * megabytesPerSecond);
        updatedNanos = nowNanos;
    }
}
