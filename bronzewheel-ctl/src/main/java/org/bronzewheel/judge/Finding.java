package org.bronzewheel.judge;

/** A way in which a request can end badly; each breaks a promise to the callers. */
public enum Finding {
    /** No final answer or outcome arrived, or an answer that is not whole. */
    LOST,
    /** Two answers differ, tokens repeat, or two requests ran under one key. */
    DOUBLED,
    /** An answer or a run belongs to another request. */
    MISROUTED,
    /** A non-idempotent stage ran more than once. */
    NON_IDEMPOTENT_RUN_OVER_ONE,
    /** A caller was told NOT_RUN and a stage of the request ran. */
    NOT_RUN_BUT_RAN
}
