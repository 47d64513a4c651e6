package org.bronzewheel.upstreams;

/**
 * The limit of a cold upstream.
 *
 * @param remainingMillis how long it applies, in milliseconds, greater than 0
 * @param perSecond the requests per second that the upstream sustains from all routers together,
 *     greater than 0
 */
public record ColdLimit(long remainingMillis, double perSecond) {}
