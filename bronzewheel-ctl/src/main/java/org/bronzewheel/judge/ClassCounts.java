package org.bronzewheel.judge;

/**
 * What became of the requests of one request class. Each request counts in exactly one of answered,
 * notRun, failed, unknown, lost and misrouted; the other counts add to these.
 *
 * @param sent requests sent
 * @param answered whole, right answers
 * @param notRun requests that provably did not run
 * @param failed requests that ran and failed
 * @param unknown requests that may have run
 * @param lost requests without a final answer or outcome, or whose answer was not whole
 * @param doubled requests with two differing answers, repeated tokens or two runs under one key
 * @param misrouted requests with the answer of another one, or run for another workspace
 * @param nonIdempotentRunsOverOne runs of non-idempotent stages beyond the first of each request
 * @param notRunButRan requests that were said not to have run and ran
 * @param inTime whole, right answers within the deadline
 */
public record ClassCounts(
        int sent,
        int answered,
        int notRun,
        int failed,
        int unknown,
        int lost,
        int doubled,
        int misrouted,
        int nonIdempotentRunsOverOne,
        int notRunButRan,
        int inTime) {
    /** Nothing sent. */
    public static final ClassCounts NONE = new ClassCounts(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /**
     * Adds other counts.
     *
     * @param o the other counts
     * @return the sums
     */
    public ClassCounts plus(ClassCounts o) {
        return new ClassCounts(
                sent + o.sent,
                answered + o.answered,
                notRun + o.notRun,
                failed + o.failed,
                unknown + o.unknown,
                lost + o.lost,
                doubled + o.doubled,
                misrouted + o.misrouted,
                nonIdempotentRunsOverOne + o.nonIdempotentRunsOverOne,
                notRunButRan + o.notRunButRan,
                inTime + o.inTime);
    }

    /**
     * Returns the share of requests that were answered whole within their deadline.
     *
     * @return 0 to 1; 1 where nothing was sent
     */
    public double attainment() {
        return sent == 0 ? 1 : (double) inTime / sent;
    }

    /**
     * Tells whether no promise to the callers was broken.
     *
     * @return true where lost, doubled, misrouted, runs over one and notRunButRan are 0
     */
    public boolean isClean() {
        return lost + doubled + misrouted + nonIdempotentRunsOverOne + notRunButRan == 0;
    }
}
