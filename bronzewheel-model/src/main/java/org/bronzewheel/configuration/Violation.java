package org.bronzewheel.configuration;

/**
 * One reason to refuse a configuration file.
 *
 * @param file the file, {@code inventory} or {@code rules}
 * @param line the line, from 1
 * @param column the column, from 1
 * @param field the JSON pointer of the offending field
 * @param value the offending value as text
 * @param expected what was expected instead
 */
public record Violation(
        String file, int line, int column, String field, String value, String expected) {
    Violation withValue(String offendingValue) {
        return new Violation(file, line, column, field, offendingValue, expected);
    }

    @Override
    public String toString() {
        return "%s:%d:%d: %s is '%s', expected %s"
                .formatted(file, line, column, field, value, expected);
    }
}
