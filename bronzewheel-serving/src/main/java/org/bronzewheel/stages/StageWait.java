package org.bronzewheel.stages;

/**
 * The time that a new job of a stage service is expected to take.
 *
 * @param waitMillis the time until it is in a call, in milliseconds; 0 where it is unknown
 * @param callMillis the time that the call takes, in milliseconds; a usual one where it is unknown
 * @param ageMillis how long ago its owner told it, in milliseconds; 0 at the owner itself
 */
public record StageWait(long waitMillis, long callMillis, long ageMillis) {
    private static final long USUAL_CALL_MILLIS = 330;

    static final StageWait UNKNOWN = new StageWait(0, USUAL_CALL_MILLIS, 0);

    /**
     * Returns the time until the results are there.
     *
     * @return the time in milliseconds
     */
    public long totalMillis() {
        return waitMillis + callMillis;
    }
}
