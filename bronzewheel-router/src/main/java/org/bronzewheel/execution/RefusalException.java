package org.bronzewheel.execution;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** A refusal of work that did not run, with the time after which a further attempt makes sense. */
public final class RefusalException extends BronzewheelException {
    private static final long serialVersionUID = 1L;

    private final long retryAfterMillis;

    /**
     * Creates a refusal.
     *
     * @param code the reason
     * @param message one sentence for the caller
     * @param retryAfterMillis when a further attempt makes sense, in milliseconds, 0 for never
     */
    public RefusalException(ErrorCode code, String message, long retryAfterMillis) {
        super(code, message);
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns when a further attempt makes sense.
     *
     * @return milliseconds, 0 for never
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
