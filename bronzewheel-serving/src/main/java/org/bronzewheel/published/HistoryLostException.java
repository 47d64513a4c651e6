package org.bronzewheel.published;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/**
 * Thrown when the platform no longer has the changes after the requested revision, so that a
 * snapshot is required.
 */
public final class HistoryLostException extends BronzewheelException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public HistoryLostException() {
        super(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the change history after the requested revision is no longer available");
    }
}
