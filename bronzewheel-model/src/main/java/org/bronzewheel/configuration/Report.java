package org.bronzewheel.configuration;

/** A receiver of violations. */
@FunctionalInterface
interface Report {
    void violation(String pointer, String expected);
}
