package org.bronzewheel.serving;

/**
 * Computes the retry delay for a refused caller: long enough for the queues to drain until the
 * request would be admitted, but short enough that the caller still has time to retry. Urgent
 * callers retry first, and the retries of one rank are spread out.
 */
final class RetryAfter {
    private static final double MIN_MILLIS = 250;
    private static final double JITTER_MILLIS = 400;

    /** The part of the spread by which each rank retries later than the one before. */
    private static final double RANK_SPREAD = 0.25;

    /** Callers retry within about a third of their remaining time. */
    private static final double MAX_SHARE = 0.3;

    /** The part of that time over which callers are spread that cannot wait for the queues. */
    private static final double LATEST_SPREAD = 0.25;

    private RetryAfter() {}

    /**
     * Returns the time by which the queues are too long for a request, in milliseconds; negative if
     * they are not.
     *
     * @param expectedMillis the expected time in the queues, in milliseconds
     * @param maxWaitMillis the time in the queues with which a request is admitted, in milliseconds
     * @param objectiveMillis the latency objective of the request, in milliseconds
     * @param shedsByCost whether the owners of queues refuse requests that would only delay others;
     *     there is room for a request once it can meet its objective
     */
    static long excessMillis(
            long expectedMillis, double maxWaitMillis, long objectiveMillis, boolean shedsByCost) {
        double roomMillis =
                shedsByCost ? Math.min(maxWaitMillis, (double) objectiveMillis) : maxWaitMillis;
        return expectedMillis - Math.round(roomMillis);
    }

    /**
     * Returns the delay in milliseconds.
     *
     * @param excessMillis the time by which the queues are too long, or until an upstream accepts
     *     requests again, in milliseconds
     * @param reopeningMillis the time from the first to the last upstream that becomes available,
     *     in milliseconds; retries are spread over it
     * @param remainingMillis the remaining time of the caller, in milliseconds
     * @param rank the rank of the request; 0 is the most urgent
     * @param point a random number in [0, 1)
     */
    static long delayMillis(
            long excessMillis, long reopeningMillis, long remainingMillis, int rank, double point) {
        double spread =
                Math.max(JITTER_MILLIS, (double) reopeningMillis) * (point + RANK_SPREAD * rank);
        double wanted = MIN_MILLIS + Math.max(0, excessMillis) + spread;
        double latest = MAX_SHARE * remainingMillis * (1 - LATEST_SPREAD * point);
        return Math.round(Math.max(MIN_MILLIS, Math.min(wanted, latest)));
    }
}
