package org.bronzewheel.routing;

/**
 * Settings of the worker choice.
 *
 * @param reportHalfLifeNanos the age at which the weight of a load report has halved
 * @param slowStartNanos the length of the slow start of a new worker
 * @param ejectAfterBadCalls the number of consecutive bad calls after which a worker is ejected
 * @param slowCallRatio the ratio to the median latency from which a call counts as bad
 * @param maxEjectedPercent the maximum percentage of a pool that may be ejected
 * @param ejectionNanos the initial ejection time, which doubles with each failed probe
 * @param maxEjectionNanos the maximum ejection time
 * @param prefixBonus the relative load that a cached prefix compensates for, as a part of the
 *     concurrency
 * @param subsetSize the number of workers per subset; a pool of at least twice this size is divided
 *     into subsets
 * @param localityBonus the relative load that the failure domain of the router compensates for, as
 *     a part of the concurrency
 */
public record RoutingSettings(
        long reportHalfLifeNanos,
        long slowStartNanos,
        int ejectAfterBadCalls,
        double slowCallRatio,
        int maxEjectedPercent,
        long ejectionNanos,
        long maxEjectionNanos,
        int subsetSize,
        double prefixBonus,
        double localityBonus) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static RoutingSettings defaults() {
        return new RoutingSettings(
                500 * NANOS_PER_MILLI,
                3_000 * NANOS_PER_MILLI,
                3,
                3.0,
                50,
                1_000 * NANOS_PER_MILLI,
                4_000 * NANOS_PER_MILLI,
                10,
                0.25,
                0.02);
    }

    /**
     * Returns a copy with one setting changed.
     *
     * @param value the maximum percentage of a pool that may be ejected
     * @return the settings
     */
    public RoutingSettings withMaxEjectedPercent(int value) {
        return new RoutingSettings(
                reportHalfLifeNanos,
                slowStartNanos,
                ejectAfterBadCalls,
                slowCallRatio,
                value,
                ejectionNanos,
                maxEjectionNanos,
                subsetSize,
                prefixBonus,
                localityBonus);
    }

    /**
     * Returns a copy with one setting changed.
     *
     * @param value the length of the slow start of a new worker, in nanoseconds
     * @return the settings
     */
    public RoutingSettings withSlowStart(long value) {
        return new RoutingSettings(
                reportHalfLifeNanos,
                value,
                ejectAfterBadCalls,
                slowCallRatio,
                maxEjectedPercent,
                ejectionNanos,
                maxEjectionNanos,
                subsetSize,
                prefixBonus,
                localityBonus);
    }

    /**
     * Returns a copy with one setting changed.
     *
     * @param value the relative load that the failure domain of the router compensates for
     * @return the settings
     */
    public RoutingSettings withLocalityBonus(double value) {
        return new RoutingSettings(
                reportHalfLifeNanos,
                slowStartNanos,
                ejectAfterBadCalls,
                slowCallRatio,
                maxEjectedPercent,
                ejectionNanos,
                maxEjectionNanos,
                subsetSize,
                prefixBonus,
                value);
    }
}
