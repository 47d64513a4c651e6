package org.bronzewheel.execution;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one deadline of a request by the monotonic clock.
 *
 * @param atNanos when the whole answer is due, in nanoseconds
 * @param nanoClock the monotonic clock
 */
record Deadline(long atNanos, LongSupplier nanoClock) {
    static Deadline after(long millis, LongSupplier nanoClock) {
        return new Deadline(
                nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis), nanoClock);
    }

    long remainingNanos() {
        return atNanos - nanoClock.getAsLong();
    }

    /** Returns the time left, rounded down, below 1 where the deadline has passed. */
    long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(remainingNanos());
    }
}
