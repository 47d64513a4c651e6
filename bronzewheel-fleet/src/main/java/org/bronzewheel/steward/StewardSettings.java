package org.bronzewheel.steward;

/**
 * The intervals and durations of stewards.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param leaseMillis duration of a lease for its holder, counted from the request, in milliseconds
 * @param voterLeaseMillis duration of a lease for a voter, counted from the grant, in milliseconds;
 *     exceeds {@code leaseMillis} by the difference in rate that clocks may have
 * @param renewMillis time between renewals, in milliseconds
 * @param sendMarginMillis the time that a lease must still last for an order to be sent, in
 *     milliseconds; also the timeout of an order
 * @param pollMillis time between orders to an engine that is loading, refused the fencing number or
 *     did not respond, in milliseconds
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
    /** Default values, which allow clock rates to differ by a tenth. */
    public static final StewardSettings DEFAULT =
            new StewardSettings(200, 30_000, 33_000, 8_000, 5_000, 2_000, 60_000);
}
