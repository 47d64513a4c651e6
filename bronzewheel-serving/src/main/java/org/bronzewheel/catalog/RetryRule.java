package org.bronzewheel.catalog;

/** Tells whether a request may run more than once. */
public enum RetryRule {
    /** The request is idempotent: it may be sent again after any failure. */
    IDEMPOTENT,
    /** The request runs at most once: it is sent again only where it is proved not to have run. */
    AT_MOST_ONCE,
    /** The request streams its answer and may go on at another upstream after the last event. */
    RESUMABLE
}
