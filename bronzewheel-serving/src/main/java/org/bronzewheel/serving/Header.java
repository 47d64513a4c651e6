package org.bronzewheel.serving;

/**
 * A header that is passed on unchanged.
 *
 * @param name its name as it was sent
 * @param value its value
 */
public record Header(String name, String value) {}
