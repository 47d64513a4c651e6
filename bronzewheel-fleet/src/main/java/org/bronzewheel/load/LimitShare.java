package org.bronzewheel.load;

/**
 * What this router may spend of a limit of the whole fleet.
 *
 * @param limit the name of the limit
 * @param allowedPerSecond what it may spend a second
 */
public record LimitShare(String limit, double allowedPerSecond) {}
