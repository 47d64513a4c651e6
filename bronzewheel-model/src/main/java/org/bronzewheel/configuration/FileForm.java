package org.bronzewheel.configuration;

/**
 * The form of a YAML file, with optional fields, before its defaults are filled in.
 *
 * @param <T> the record that it stands for
 */
interface FileForm<T> {
    T toRecord();
}
