package org.bronzewheel.document;

import java.util.Optional;

/**
 * A document after its check.
 *
 * @param result whether it is valid
 * @param value its meaning, present where it is valid
 * @param <T> the type of its meaning
 */
public record CheckedDocument<T>(CheckResult result, Optional<T> value) {
    /**
     * Returns a valid document.
     *
     * @param value its meaning
     * @param <T> the type of its meaning
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> valid(T value) {
        return new CheckedDocument<>(new CheckResult.Valid(), Optional.of(value));
    }

    /**
     * Returns a refused document.
     *
     * @param reason why, a line for each violation
     * @param <T> the type of its meaning
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> invalid(String reason) {
        return new CheckedDocument<>(new CheckResult.Invalid(reason), Optional.empty());
    }

    /**
     * Returns a document whose content does not have its digest.
     *
     * @param <T> the type of its meaning
     * @return the result of the check
     */
    public static <T> CheckedDocument<T> corrupt() {
        return new CheckedDocument<>(new CheckResult.Corrupt(), Optional.empty());
    }
}
