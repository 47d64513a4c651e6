package org.bronzewheel.upstream;

/** A response with a status other than expected. */
final class StatusException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;

    StatusException(int status) {
        super("status " + status);
        this.status = status;
    }

    int status() {
        return status;
    }
}
