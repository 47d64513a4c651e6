package org.bronzewheel.configuration;

import java.util.List;

/** Fills in fields that a file left out. */
final class Defaults {
    private Defaults() {}

    static <T> T orElse(T value, T fallback) {
        return value == null ? fallback : value;
    }

    static <T> List<T> list(List<T> values) {
        return values == null ? List.of() : List.copyOf(values);
    }

    static <F extends FileForm<T>, T> List<T> records(List<F> forms) {
        return forms == null ? List.of() : forms.stream().map(FileForm::toRecord).toList();
    }
}
