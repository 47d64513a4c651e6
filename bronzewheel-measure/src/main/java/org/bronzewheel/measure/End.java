package org.bronzewheel.measure;

/** How a request ended at its router. */
enum End {
    /** With its whole answer. */
    ANSWERED,
    /** Refused or dropped before it was late. */
    REFUSED,
    /** Failed. */
    FAILED,
    /** Cut off at its deadline. */
    LATE,
    /** Lost with its router. */
    LOST
}
