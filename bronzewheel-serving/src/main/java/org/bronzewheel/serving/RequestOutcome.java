package org.bronzewheel.serving;

/** How a request ended. */
public enum RequestOutcome {
    /** The caller received the complete response of an upstream. */
    ANSWERED,
    /** The request did not run, and the response says so. */
    REFUSED,
    /** The response reports a failure or an unknown outcome. */
    FAILED,
    /** The response was aborted after it had started. */
    BROKEN_OFF,
    /** The caller disconnected. */
    CANCELLED
}
