package org.bronzewheel.cost;

/** Why a cost arose. */
public enum CostKind {
    /** The call whose answer was used. */
    PRIMARY,
    /** A call that raced with another and whose answer was not used. */
    HEDGE,
    /** An attempt that failed and was followed by another. */
    RETRY,
    /** Work whose answer came after the deadline or after the request had ended. */
    LATE
}
