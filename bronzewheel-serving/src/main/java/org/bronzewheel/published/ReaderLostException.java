package org.bronzewheel.published;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** The router through which the platform is read does not answer, or does not read it now. */
public final class ReaderLostException extends BronzewheelException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param vmId the VM of the router that was asked
     * @param cause why it gave no changes
     */
    public ReaderLostException(String vmId, Throwable cause) {
        super(
                ErrorCode.PLATFORM_UNAVAILABLE,
                Outcome.NOT_RUN,
                "router " + vmId + " gave no changes: " + cause.getMessage(),
                cause);
    }
}
