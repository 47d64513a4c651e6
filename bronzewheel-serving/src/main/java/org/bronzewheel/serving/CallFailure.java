package org.bronzewheel.serving;

/** Why an attempt ended without a complete response. */
public enum CallFailure {
    /** No byte was written to a connection: the request did not run. */
    NOT_SENT,
    /** Nothing was sent, because the upstream has since announced that it accepts no requests. */
    WITHHELD,
    /** The connection broke or the response is unusable: the request may have run. */
    BROKEN
}
