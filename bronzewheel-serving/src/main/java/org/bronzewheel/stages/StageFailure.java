package org.bronzewheel.stages;

/** The reasons why a stage has no results. */
public enum StageFailure {
    /** The deadline does not leave enough time. */
    LATE,
    /** A result that was needed no longer exists. */
    INPUT_GONE,
    /** The upstreams failed or refused too often. */
    UPSTREAM_FAILED,
    /** The owner of the upstreams cannot be reached. */
    OWNER_LOST
}
