package org.bronzewheel.steward;

/**
 * The times of stewards.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param leaseMillis how long a lease lasts for its holder from when it asked, in milliseconds
 * @param voterLeaseMillis how long a voter keeps it from when it granted, in milliseconds; longer
 *     by as much as clocks may differ in rate
 * @param renewMillis time between renewals, in milliseconds
 * @param sendMarginMillis the time that a lease must still last for an order to leave, in
 *     milliseconds; the longest time that an order takes to its engine
 * @param pollMillis time between orders to an engine that is loading or did not respond, in
 *     milliseconds
 * @param repeatMillis time between orders to an engine that holds its models, in milliseconds
 */
public record StewardSettings(
        long tickMillis,
        long leaseMillis,
        long voterLeaseMillis,
        long renewMillis,
        long sendMarginMillis,
        long pollMillis,
        long repeatMillis) {
    /** Values that allow clocks to differ by a tenth in rate. */
    public static final StewardSettings DEFAULT =
            new StewardSettings(200, 30_000, 33_000, 8_000, 5_000, 2_000, 60_000);
}
