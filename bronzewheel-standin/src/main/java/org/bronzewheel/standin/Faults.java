package org.bronzewheel.standin;

/**
 * The fault switches of an upstream stand-in. Percentages are shares of calls, drawn one after the
 * other with a seeded generator.
 *
 * @param delayMillis time added to each call, in milliseconds
 * @param hang whether calls run and are never answered
 * @param failPercent calls that run and fail, in percent
 * @param refusePercent calls that are refused with 503 and don't run, in percent
 * @param breakAfterRunPercent calls that run and whose connection then breaks, in percent
 * @param truncatePercent calls that run and whose answer is cut short, in percent
 * @param wrongEchoPercent calls that run and get the answer of another attempt, in percent
 * @param leaving whether each answer says that the upstream is leaving
 */
public record Faults(
        long delayMillis,
        boolean hang,
        int failPercent,
        int refusePercent,
        int breakAfterRunPercent,
        int truncatePercent,
        int wrongEchoPercent,
        boolean leaving) {
    /** No faults. */
    public static final Faults NONE = new Faults(0, false, 0, 0, 0, 0, 0, false);

    /**
     * Adds a straggler's delay.
     *
     * @param millis time added to each call, in milliseconds
     * @return a copy
     */
    public Faults withDelayMillis(long millis) {
        return new Faults(
                millis,
                hang,
                failPercent,
                refusePercent,
                breakAfterRunPercent,
                truncatePercent,
                wrongEchoPercent,
                leaving);
    }

    /**
     * Changes whether the upstream says that it is leaving.
     *
     * @param value true to say so
     * @return a copy
     */
    public Faults withLeaving(boolean value) {
        return new Faults(
                delayMillis,
                hang,
                failPercent,
                refusePercent,
                breakAfterRunPercent,
                truncatePercent,
                wrongEchoPercent,
                value);
    }

    /**
     * Changes the share of calls that end in each fault.
     *
     * @param fail calls that run and fail, in percent
     * @param refuse calls that are refused, in percent
     * @param breakAfterRun calls whose connection breaks after the run, in percent
     * @param truncate calls whose answer is cut short, in percent
     * @param wrongEcho calls that get the answer of another attempt, in percent
     * @return a copy
     */
    public Faults withPercentages(
            int fail, int refuse, int breakAfterRun, int truncate, int wrongEcho) {
        return new Faults(
                delayMillis, hang, fail, refuse, breakAfterRun, truncate, wrongEcho, leaving);
    }
}
