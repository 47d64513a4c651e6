package org.bronzewheel.execution;

/** The end of an attempt that took too long and whose stage may be sent again. */
final class GivenUpException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    GivenUpException() {
        super("the attempt took longer than its part of the deadline", null, false, false);
    }
}
