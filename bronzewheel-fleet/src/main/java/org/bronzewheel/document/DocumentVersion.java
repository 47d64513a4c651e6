package org.bronzewheel.document;

/**
 * A revision of a document with the digest of its text.
 *
 * @param revision grows with each change, from 1
 * @param digest SHA-256 in lower-case hexadecimal
 */
public record DocumentVersion(long revision, String digest) {}
