package org.bronzewheel.serving;

/** The reasons why a send ended without a whole answer. */
public enum CallFailure {
    /** No byte was handed to a connection: the request did not run. */
    NOT_SENT,
    /** The connection broke or the answer cannot be used: the request may have run. */
    BROKEN
}
