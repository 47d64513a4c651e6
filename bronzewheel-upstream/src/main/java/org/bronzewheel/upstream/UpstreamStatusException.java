package org.bronzewheel.upstream;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** An error status by which an upstream ended an attempt. */
public final class UpstreamStatusException extends BronzewheelException {
    private static final long serialVersionUID = 1L;

    private static final int FIRST_SERVER_ERROR = 500;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param code what went wrong
     * @param outcome whether the attempt ran
     * @param message one sentence for the reader of the log
     * @param status the HTTP status, from 400
     */
    public UpstreamStatusException(ErrorCode code, Outcome outcome, String message, int status) {
        super(code, outcome, message, null);
        this.status = status;
    }

    /**
     * Tells whether the upstream blames the request, so that another worker would answer alike.
     *
     * @return true for status 400 to 499
     */
    public boolean blamesRequest() {
        return status < FIRST_SERVER_ERROR;
    }
}
