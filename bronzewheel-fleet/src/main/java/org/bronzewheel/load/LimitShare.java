package org.bronzewheel.load;

/**
 * What this router may use of a fleet-wide limit.
 *
 * @param limit the name of the limit
 * @param allowedPerSecond what it may use per second
 */
public record LimitShare(String limit, double allowedPerSecond) {}
