package org.bronzewheel.error;

import java.util.Objects;
import org.bronzewheel.request.Outcome;

/** An unchecked exception that carries an {@link ErrorCode} and whether the work ran. */
public class BronzewheelException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Outcome outcome;

    /**
     * Creates an exception for work that did not run.
     *
     * @param code the error code
     * @param message the detail message, one sentence
     */
    public BronzewheelException(ErrorCode code, String message) {
        this(code, Outcome.NOT_RUN, message, null);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param code the error code
     * @param outcome whether the work ran
     * @param message the detail message, one sentence
     * @param cause the underlying error, or null
     */
    public BronzewheelException(ErrorCode code, Outcome outcome, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code);
        this.outcome = Objects.requireNonNull(outcome);
    }

    /**
     * Returns the error code.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the work ran.
     *
     * @return the outcome, never {@link Outcome#ANSWERED}
     */
    public Outcome outcome() {
        return outcome;
    }
}
