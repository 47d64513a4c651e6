package org.bronzewheel.standin;

/** What a fault switch lets happen to one call. */
enum Fate {
    /** Runs and is answered. */
    ANSWER,
    /** Runs and is never answered. */
    HANG,
    /** Runs and fails. */
    FAIL,
    /** Does not run. */
    REFUSE,
    /** Runs; the connection breaks instead of an answer. */
    BREAK_AFTER_RUN,
    /** Runs; the answer is cut short. */
    TRUNCATE,
    /** Runs; the answer is that of another attempt. */
    WRONG_ECHO
}
