package org.bronzewheel.claim;

/**
 * Since when a router has used a list or a newer one.
 *
 * @param revision the revision of the list
 * @param sinceNanos the latest time at which that may have begun, by the own monotonic clock
 */
record ListUseStart(long revision, long sinceNanos) {}
