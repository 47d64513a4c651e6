package org.bronzewheel.load;

/**
 * The intervals and durations of shared limits.
 *
 * @param tickMillis time between ticks, in milliseconds
 * @param requestMillis time between requests of a router for a limit, in milliseconds
 * @param grantMillis duration of a grant for the requesting router, counted from its request, in
 *     milliseconds
 * @param loanRequestMillis time between loan requests of the owner of a limit, in milliseconds
 * @param loanMillis duration of a loan for the owner, counted from its loan request, in
 *     milliseconds
 * @param lenderMillis duration of a loan for the lender, in milliseconds; exceeds {@code
 *     loanMillis} by the difference in rate that clocks may have
 */
public record LimitSettings(
        long tickMillis,
        long requestMillis,
        long grantMillis,
        long loanRequestMillis,
        long loanMillis,
        long lenderMillis) {
    /** Default values, which allow clock rates to differ by a tenth. */
    public static final LimitSettings DEFAULT =
            new LimitSettings(200, 1_000, 2_500, 4_000, 10_000, 11_000);
}
