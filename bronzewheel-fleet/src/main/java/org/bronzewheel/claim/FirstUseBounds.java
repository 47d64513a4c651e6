package org.bronzewheel.claim;

/**
 * Bounds of the time at which a key was first used, by the monotonic clock of one router. If the
 * key contains its creation time, both bounds are that time.
 *
 * @param earliestNanos a voter must remember its votes since this time, in nanoseconds
 * @param latestNanos evidence must not be older than this time, in nanoseconds
 */
record FirstUseBounds(long earliestNanos, long latestNanos) {}
