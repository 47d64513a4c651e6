package org.bronzewheel.serving;

/**
 * A header that is forwarded unchanged.
 *
 * @param name the name as received
 * @param value the value
 */
public record Header(String name, String value) {}
