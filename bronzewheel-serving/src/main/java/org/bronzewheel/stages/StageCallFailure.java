package org.bronzewheel.stages;

/** Why a whole stage call failed. */
public enum StageCallFailure {
    /** No byte reached the upstream. */
    NOT_SENT,
    /** Nothing was sent, because the upstream is paused, leaving or evacuated. */
    WITHHELD,
    /** The upstream received the call and stated that it did no work on it. */
    REJECTED,
    /** Another upstream received the call and rejected it, as it now has the address. */
    MISDIRECTED,
    /** The call may have been worked on. */
    BROKEN
}
