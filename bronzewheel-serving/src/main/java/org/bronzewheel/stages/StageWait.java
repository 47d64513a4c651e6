package org.bronzewheel.stages;

/**
 * The time that a new job of a stage service is expected to wait.
 *
 * @param millis the time in milliseconds; 0 where it is unknown
 * @param ageMillis how long ago its owner told it, in milliseconds; 0 at the owner itself
 */
public record StageWait(long millis, long ageMillis) {
    static final StageWait UNKNOWN = new StageWait(0, 0);
}
