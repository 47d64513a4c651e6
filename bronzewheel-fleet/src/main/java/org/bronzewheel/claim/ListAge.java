package org.bronzewheel.claim;

/**
 * How long a router has used a VM list.
 *
 * @param revision the revision of the list
 * @param ageNanos the time since the router began to use this list or a newer one, in nanoseconds
 */
public record ListAge(long revision, long ageNanos) {}
