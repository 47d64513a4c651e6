package org.bronzewheel.document;

/** The result of checking a document. */
public sealed interface CheckResult {
    /** The document is valid as a whole. */
    record Valid() implements CheckResult {}

    /**
     * The document is refused as a whole.
     *
     * @param reason why, a line for each violation
     */
    record Invalid(String reason) implements CheckResult {}

    /** The content does not have the digest that came with it. */
    record Corrupt() implements CheckResult {}
}
