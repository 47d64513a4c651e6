package org.bronzewheel.stages;

/** The reasons for the failure of a stage job. */
public enum StageFailure {
    /** The job cannot be done before the deadline. */
    LATE,
    /** An input no longer exists. */
    INPUT_GONE,
    /**
     * The calls failed too often, the retry budget was exhausted, or the service has no upstream.
     */
    UPSTREAM_FAILED,
    /** The owner of the service was lost, and the job could not be resubmitted. */
    OWNER_LOST
}
