package org.bronzewheel.upstreams;

/**
 * Until when one life of an upstream is cold, by this router's steady clock.
 *
 * <p>The remaining time in an entry counts from when the router reads it. The entry was written
 * before, so the result is never earlier than the real end.
 */
final class ColdTime {
    /** Prevents an overflow; no cold time is longer. */
    private static final long MAX_MILLIS = 1L << 53;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long entryEndMillis = NEVER;
    private long returnEndMillis = NEVER;

    /** Records what a newly written entry says; it replaces what an earlier one said. */
    void entryWritten(long remainingMillis, long nowMillis) {
        entryEndMillis = end(remainingMillis, nowMillis);
    }

    /**
     * Records what an entry says that may have been written long ago, as in a copy of the store. It
     * may extend the cold time and does not end it.
     */
    void entryRead(long remainingMillis, long nowMillis) {
        entryEndMillis = Math.max(entryEndMillis, end(remainingMillis, nowMillis));
    }

    /** Records that the evacuation of the upstream's failure domain has ended. */
    void domainReturned(long coldStartMillis, long nowMillis) {
        returnEndMillis = Math.max(returnEndMillis, end(coldStartMillis, nowMillis));
    }

    private static long end(long remainingMillis, long nowMillis) {
        return nowMillis + Math.min(remainingMillis, MAX_MILLIS);
    }

    /** Returns how long the upstream is still cold, in milliseconds; 0 if it is not. */
    long remainingMillis(long nowMillis) {
        return Math.max(0, Math.max(entryEndMillis, returnEndMillis) - nowMillis);
    }
}
