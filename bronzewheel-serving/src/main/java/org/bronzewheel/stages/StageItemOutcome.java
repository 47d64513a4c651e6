package org.bronzewheel.stages;

/**
 * The outcome of one piece of a call.
 *
 * @param kind the outcome
 * @param handle the handle of the result; empty if there is none
 */
public record StageItemOutcome(Kind kind, String handle) {
    /** The kinds of outcome. */
    public enum Kind {
        /** The result is stored under the handle. */
        MADE,
        /** The deadline of the piece had passed when the upstream reached it. */
        LATE,
        /** An input no longer exists. */
        INPUT_GONE,
        /** The upstream has no space for the result. */
        NO_ROOM,
        /** The upstream failed. */
        FAILED
    }
}
