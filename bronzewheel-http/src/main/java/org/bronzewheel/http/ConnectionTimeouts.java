package org.bronzewheel.http;

/**
 * The timeouts of a connection from a caller.
 *
 * @param idleMillis the time that it may be idle between two requests, in milliseconds
 * @param headMillis the time that the head of a request may take, in milliseconds
 */
public record ConnectionTimeouts(long idleMillis, long headMillis) {}
