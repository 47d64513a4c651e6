package org.bronzewheel.upstream;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/** The errors that attempts end with. */
final class Failures {
    private static final int REFUSED_STATUS = 503;
    private static final int FIRST_ERROR_STATUS = 400;

    private Failures() {}

    static BronzewheelException notSent(StageCall call, Throwable cause) {
        if (cause instanceof BronzewheelException refusal) {
            return refusal;
        }
        return new BronzewheelException(
                ErrorCode.UPSTREAM_REFUSED,
                Outcome.NOT_RUN,
                "no connection to upstream " + call.upstream().name(),
                cause);
    }

    static BronzewheelException broken(StageCall call, Throwable cause) {
        return new BronzewheelException(
                ErrorCode.UPSTREAM_BROKEN,
                Outcome.UNKNOWN,
                "connection to upstream " + call.upstream().name() + " broke",
                cause);
    }

    static BronzewheelException invalid(StageCall call, String reason, Throwable cause) {
        return new BronzewheelException(
                ErrorCode.UPSTREAM_ANSWER_INVALID,
                Outcome.UNKNOWN,
                "answer of upstream " + call.upstream().name() + " is invalid: " + reason,
                cause);
    }

    static BronzewheelException status(StageCall call, int status) {
        String message = "upstream " + call.upstream().name() + " answered status " + status;
        if (status == REFUSED_STATUS) {
            Outcome outcome = call.pool().refusalProvesNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            return new UpstreamStatusException(
                    ErrorCode.UPSTREAM_REFUSED, outcome, message, status);
        }
        if (status >= FIRST_ERROR_STATUS) {
            return new UpstreamStatusException(
                    ErrorCode.UPSTREAM_FAILED, Outcome.FAILED, message, status);
        }
        return invalid(call, "status " + status, null);
    }
}
