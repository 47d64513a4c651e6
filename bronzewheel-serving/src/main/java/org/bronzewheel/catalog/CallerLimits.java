package org.bronzewheel.catalog;

/**
 * Limits for the connections and requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time to receive a request head, in milliseconds
 * @param idleTimeoutMillis the maximum time between two requests on a connection, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
