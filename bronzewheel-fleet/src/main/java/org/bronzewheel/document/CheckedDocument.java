package org.bronzewheel.document;

import java.util.Optional;

/**
 * A document with the result of its check.
 *
 * @param result whether it is valid
 * @param value the parsed value, present if it is valid
 * @param <T> the type of the parsed value
 */
public record CheckedDocument<T>(CheckResult result, Optional<T> value) {
    /**
     * Returns a valid document.
     *
     * @param value the parsed value
     * @param <T> the type of the parsed value
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> valid(T value) {
        return new CheckedDocument<>(new CheckResult.Valid(), Optional.of(value));
    }

    /**
     * Returns a refused document.
     *
     * @param reason the reason, one line for each violation
     * @param <T> the type of the parsed value
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> invalid(String reason) {
        return new CheckedDocument<>(new CheckResult.Invalid(reason), Optional.empty());
    }

    /**
     * Returns a document whose content does not match its digest.
     *
     * @param <T> the type of the parsed value
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> corrupt() {
        return new CheckedDocument<>(new CheckResult.Corrupt(), Optional.empty());
    }
}
