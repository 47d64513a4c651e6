package org.bronzewheel.claim;

/**
 * When a router began to use a VM list or a newer one.
 *
 * @param revision the revision of the list
 * @param sinceNanos the latest possible time of that, by the monotonic clock of this router
 */
record ListUseStart(long revision, long sinceNanos) {}
