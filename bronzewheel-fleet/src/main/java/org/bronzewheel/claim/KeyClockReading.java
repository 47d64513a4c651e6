package org.bronzewheel.claim;

import java.util.OptionalLong;
import org.bronzewheel.request.IdempotencyKey;

/**
 * A simultaneous reading of the monotonic and the wall clock of a router, which converts the
 * creation time in a key to monotonic time.
 *
 * @param nowNanos the monotonic time, in nanoseconds
 * @param epochMillis the wall-clock time, in milliseconds since the epoch
 */
record KeyClockReading(long nowNanos, long epochMillis) {
    static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns whether the creation time in a key is older than the retention. */
    boolean isExpired(IdempotencyKey key, ClaimSettings settings) {
        return key.isOlderThan(settings.retentionMillis(), epochMillis);
    }

    /** Returns whether the creation time in a key is too far in the future to be trusted. */
    boolean isTooFarAhead(IdempotencyKey key, ClaimSettings settings) {
        OptionalLong created = key.createdAtEpochMillis();
        return created.isPresent()
                && created.getAsLong() - epochMillis > settings.evidenceMillis() / 2;
    }

    /**
     * Returns bounds of the first use of a key that is neither expired nor too far in the future.
     */
    FirstUseBounds firstUse(IdempotencyKey key, ClaimSettings settings) {
        OptionalLong created = key.createdAtEpochMillis();
        if (created.isEmpty()) {
            return new FirstUseBounds(
                    nowNanos - settings.opaqueKeyAgeMillis() * NANOS_PER_MILLI, nowNanos);
        }
        long ageNanos = (epochMillis - created.getAsLong()) * NANOS_PER_MILLI;
        return new FirstUseBounds(nowNanos - ageNanos, nowNanos - ageNanos);
    }
}
