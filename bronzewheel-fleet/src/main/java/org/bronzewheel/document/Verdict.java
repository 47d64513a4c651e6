package org.bronzewheel.document;

/** The result of checking a document. */
public sealed interface Verdict {
    /** The document is valid as a whole. */
    record Valid() implements Verdict {}

    /**
     * The document is refused as a whole.
     *
     * @param reason why, a line for each violation
     */
    record Invalid(String reason) implements Verdict {}

    /** The content does not have the digest that came with it. */
    record Corrupt() implements Verdict {}
}
