package org.bronzewheel.claim;

import java.util.OptionalLong;
import org.bronzewheel.request.IdempotencyKey;

/**
 * One moment of a router by both of its clocks; it relates the own time of keys to the monotonic
 * clock.
 *
 * @param nowNanos the monotonic time, in nanoseconds
 * @param epochMillis the wall-clock time, in milliseconds since the epoch
 */
record ClockReading(long nowNanos, long epochMillis) {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Tells whether a key carries a time that is older than the retention. */
    boolean isExpired(IdempotencyKey key, ClaimSettings settings) {
        return key.isOlderThan(settings.retentionMillis(), epochMillis);
    }

    /** Tells whether a key carries a time that lies too far ahead to be believed. */
    boolean isAhead(IdempotencyKey key, ClaimSettings settings) {
        OptionalLong created = key.createdAtEpochMillis();
        return created.isPresent()
                && created.getAsLong() - epochMillis > settings.evidenceMillis() / 2;
    }

    /** Returns when a key, which is neither expired nor ahead, may have been used first. */
    FirstUseBounds timeOf(IdempotencyKey key, ClaimSettings settings) {
        OptionalLong created = key.createdAtEpochMillis();
        if (created.isEmpty()) {
            return new FirstUseBounds(
                    nowNanos - settings.opaqueKeyAgeMillis() * NANOS_PER_MILLI, nowNanos);
        }
        long ageNanos = (epochMillis - created.getAsLong()) * NANOS_PER_MILLI;
        return new FirstUseBounds(nowNanos - ageNanos, nowNanos - ageNanos);
    }
}
