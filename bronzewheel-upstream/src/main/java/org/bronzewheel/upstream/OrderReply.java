package org.bronzewheel.upstream;

/** An engine's reply to an order. */
public enum OrderReply {
    /** The engine holds what the order names. */
    READY,
    /** The engine is loading. */
    LOADING,
    /** The engine has seen a higher fencing number. */
    FENCED,
    /** No usable reply; the order may have been taken. */
    UNKNOWN
}
