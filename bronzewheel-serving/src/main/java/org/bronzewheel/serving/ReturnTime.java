package org.bronzewheel.serving;

/**
 * The time after which a refused caller is to come back: once the queues in its way have drained so
 * far that it would be taken, but soon enough that it comes back at all. Urgent callers come first,
 * and those of one rank not all together.
 */
final class ReturnTime {
    private static final double LEAST_MILLIS = 250;
    private static final double JITTER_MILLIS = 400;

    /** The part of the spread by which each rank comes later than the one before. */
    private static final double RANK_PART = 0.25;

    /** Callers come back within a third of the time that they have left. */
    private static final double LONGEST_SHARE = 0.3;

    /** The part of that time over which those are spread that cannot wait for the queues. */
    private static final double LATEST_SPREAD = 0.25;

    private ReturnTime() {}

    /**
     * Returns the time, in milliseconds.
     *
     * @param excessMillis by how much the queues are too long, or the time until an upstream takes
     *     requests again, in milliseconds
     * @param openingMillis the time over which the upstreams open one after the other, in
     *     milliseconds; callers come back spread over it
     * @param leftMillis the time that the caller still waits, in milliseconds
     * @param rank the rank of its route, 0 first
     * @param point a random number from 0 to below 1
     */
    static long afterMillis(
            long excessMillis, long openingMillis, long leftMillis, int rank, double point) {
        double spread =
                Math.max(JITTER_MILLIS, (double) openingMillis) * (point + RANK_PART * rank);
        double wanted = LEAST_MILLIS + Math.max(0, excessMillis) + spread;
        double latest = LONGEST_SHARE * leftMillis * (1 - LATEST_SPREAD * point);
        return Math.round(Math.max(LEAST_MILLIS, Math.min(wanted, latest)));
    }
}
