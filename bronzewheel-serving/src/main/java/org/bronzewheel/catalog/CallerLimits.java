package org.bronzewheel.catalog;

/**
 * The bounds of what a caller may send.
 *
 * @param maxHeaderBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeoutMillis the longest time for a request head, in milliseconds
 * @param idleTimeoutMillis the longest time between requests of a connection, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
