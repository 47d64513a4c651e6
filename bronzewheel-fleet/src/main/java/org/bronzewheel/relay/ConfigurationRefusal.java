package org.bronzewheel.relay;

/**
 * A document that was not accepted.
 *
 * @param revision its revision
 * @param digest its digest
 * @param reason the reason, one line for each violation
 */
public record ConfigurationRefusal(long revision, String digest, String reason) {}
