package org.bronzewheel.published;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The platform no longer knows the changes after a revision; a snapshot is needed. */
public final class HistoryLostException extends BronzewheelException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public HistoryLostException() {
        super(ErrorCode.PLATFORM_UNAVAILABLE, "the history of changes is no longer available");
    }
}
