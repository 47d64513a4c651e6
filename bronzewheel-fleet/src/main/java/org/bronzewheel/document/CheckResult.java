package org.bronzewheel.document;

/** The result of checking a document. */
public sealed interface CheckResult {
    /** The document is valid as a whole. */
    record Valid() implements CheckResult {}

    /**
     * The document is refused as a whole.
     *
     * @param reason the reason, one line for each violation
     */
    record Invalid(String reason) implements CheckResult {}

    /** The content does not match the digest sent with it. */
    record Corrupt() implements CheckResult {}
}
