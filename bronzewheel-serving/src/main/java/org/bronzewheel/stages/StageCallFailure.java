package org.bronzewheel.stages;

/** Why a whole stage call failed. */
public enum StageCallFailure {
    /** No byte reached the upstream. */
    NOT_SENT,
    /** The upstream received the call and stated that it did no work on it. */
    REJECTED,
    /** The call may have been worked on. */
    BROKEN
}
