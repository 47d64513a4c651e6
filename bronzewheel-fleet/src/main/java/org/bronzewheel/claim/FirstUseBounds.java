package org.bronzewheel.claim;

/**
 * When a key may have been used first, by the monotonic clock of one router. Where the key carries
 * its own time, both bounds are that time.
 *
 * @param earliestNanos memory must reach back to this time, in nanoseconds
 * @param latestNanos evidence must not be older than this time, in nanoseconds
 */
record FirstUseBounds(long earliestNanos, long latestNanos) {}
