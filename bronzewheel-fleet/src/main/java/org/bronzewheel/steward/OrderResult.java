package org.bronzewheel.steward;

/** An engine's response to an order. */
public enum OrderResult {
    /** The engine took the order and holds what it names. */
    DONE,
    /** The engine took the order and is still loading. */
    LOADING,
    /** The engine has seen a higher fencing number. */
    FENCED,
    /** No response; the order may have been taken. */
    UNKNOWN
}
