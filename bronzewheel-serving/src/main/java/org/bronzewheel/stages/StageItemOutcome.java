package org.bronzewheel.stages;

/**
 * What became of one piece of a call.
 *
 * @param kind the outcome
 * @param handle the name of the result; empty without one
 */
public record StageItemOutcome(Kind kind, String handle) {
    /** The outcomes of a piece. */
    public enum Kind {
        /** The result is kept under the handle. */
        MADE,
        /** The piece had no use any more when its turn came. */
        LATE,
        /** An input no longer exists. */
        INPUT_GONE,
        /** The upstream has no room for the result. */
        NO_ROOM,
        /** The upstream failed. */
        FAILED
    }
}
