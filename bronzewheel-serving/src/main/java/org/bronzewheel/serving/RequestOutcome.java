package org.bronzewheel.serving;

/** The ways in which a request ends. */
public enum RequestOutcome {
    /** The caller has the whole answer of an upstream. */
    ANSWERED,
    /** The request did not run, and the caller was told so. */
    REFUSED,
    /** The caller was told that the outcome is a failure or unknown. */
    FAILED,
    /** The answer was broken off after its begin. */
    BROKEN_OFF,
    /** The caller left. */
    CANCELLED
}
