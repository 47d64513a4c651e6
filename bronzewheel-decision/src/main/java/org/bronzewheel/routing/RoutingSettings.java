package org.bronzewheel.routing;

/**
 * Constants of the choice of a worker.
 *
 * @param reportHalfLifeNanos the age at which a load report counts half
 * @param slowStartNanos how long a new worker gets less than its share
 * @param ejectAfterBadCalls bad calls in a row that eject a worker
 * @param slowCallRatio the latency relative to the usual one from which a call counts as bad
 * @param maxEjectedPercent the part of a pool that may be ejected, in percent
 * @param ejectionNanos the first ejection time; it doubles with each failed probe
 * @param maxEjectionNanos the longest ejection time
 * @param prefixBonus the load, relative to the concurrency, that a cached prefix outweighs
 * @param subsetSize workers that one router sends to in a pool of twice as many or more
 * @param localityBonus the load, relative to the concurrency, that the own failure domain outweighs
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
     * Returns the usual constants.
     *
     * @return the constants
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
     * Returns the same constants but one.
     *
     * @param value the part of a pool that may be ejected, in percent
     * @return the constants
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
     * Returns the same constants but one.
     *
     * @param value how long a new worker gets less than its share, in nanoseconds
     * @return the constants
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
     * Returns the same constants but one.
     *
     * @param value the load that the own failure domain outweighs
     * @return the constants
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
