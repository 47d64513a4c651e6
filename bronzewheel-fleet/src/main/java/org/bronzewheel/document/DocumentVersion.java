package org.bronzewheel.document;

/**
 * A revision of a document with the digest of its text.
 *
 * @param revision incremented with each change, starting at 1
 * @param digest SHA-256 in lower-case hexadecimal
 */
public record DocumentVersion(long revision, String digest) {}
