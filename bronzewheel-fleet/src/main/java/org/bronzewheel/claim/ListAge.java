package org.bronzewheel.claim;

/**
 * For how long a router has used a list.
 *
 * @param revision the revision of the list
 * @param ageNanos the time since the router took it or a newer one into use, in nanoseconds
 */
public record ListAge(long revision, long ageNanos) {}
