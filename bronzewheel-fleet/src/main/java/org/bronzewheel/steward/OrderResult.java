package org.bronzewheel.steward;

/** An engine's response to an order. */
public enum OrderResult {
    /** The engine accepted the order and holds the models that it names. */
    DONE,
    /** The engine accepted the order and is still loading. */
    LOADING,
    /** The engine refused the order: it has seen a higher fencing number. */
    FENCED,
    /** There was no response; the engine may have accepted the order. */
    UNKNOWN
}
