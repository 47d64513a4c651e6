package org.bronzewheel.cost;

/** The kind of cost of a call. */
public enum CostKind {
    /** The call whose answer was used. */
    PRIMARY,
    /** A hedged call whose answer was not used. */
    HEDGE,
    /** A failed attempt that was retried. */
    RETRY,
    /** Work whose answer came after the deadline or after the request had ended. */
    LATE
}
