package org.bronzewheel.load;

/**
 * The times of shared limits.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param wishMillis time between wishes of a router for a limit, in milliseconds
 * @param grantMillis how long a grant lasts for the router that wished, from its wish, in
 *     milliseconds
 * @param callMillis time between calls of a keeper for a limit, in milliseconds
 * @param loanMillis how long a loan lasts for the keeper, from its call, in milliseconds
 * @param lenderMillis how long a loan lasts for the lender, in milliseconds; longer by as much as
 *     clocks may differ in rate
 */
public record LimitSettings(
        long tickMillis,
        long wishMillis,
        long grantMillis,
        long callMillis,
        long loanMillis,
        long lenderMillis) {
    /** Values that allow clocks to differ by a tenth in rate. */
    public static final LimitSettings DEFAULT =
            new LimitSettings(200, 1_000, 2_500, 4_000, 10_000, 11_000);
}
