package org.bronzewheel.stages;

/**
 * The expected queueing and call time of a new job of a stage service.
 *
 * @param waitMillis the expected queueing time, in milliseconds; 0 if unknown
 * @param callMillis the expected call duration, in milliseconds; 0 if unknown
 * @param ageMillis the age of the owner's report, in milliseconds; 0 at the owner itself
 */
public record StageWait(long waitMillis, long callMillis, long ageMillis) {
    static final StageWait UNKNOWN = new StageWait(0, 0, 0);

    /**
     * Returns the expected time until the results are available.
     *
     * @return the time in milliseconds
     */
    public long totalMillis() {
        return waitMillis + callMillis;
    }
}
