package org.bronzewheel.catalog;

/** Whether and how a request may be retried. */
public enum RetryRule {
    /** The request is idempotent and may be retried after any failure. */
    IDEMPOTENT,
    /** The request is not idempotent: it is retried only if it provably has not run. */
    AT_MOST_ONCE,
    /** The response is a stream that another upstream can resume after the last event. */
    RESUMABLE
}
