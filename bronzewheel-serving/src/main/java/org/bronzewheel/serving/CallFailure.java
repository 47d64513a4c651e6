package org.bronzewheel.serving;

/** The reasons why a send ended without a whole answer. */
public enum CallFailure {
    /** No byte was handed to a connection: the request did not run. */
    NOT_SENT,
    /** Nothing was sent, as the upstream has said meanwhile that it takes nothing. */
    WITHHELD,
    /** The connection broke or the answer cannot be used: the request may have run. */
    BROKEN
}
