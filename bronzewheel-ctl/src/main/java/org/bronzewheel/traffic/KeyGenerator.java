package org.bronzewheel.traffic;

import java.util.SplittableRandom;
import java.util.UUID;

/** A generator of UUIDs of version 7, which carry the time at which they were made. */
final class KeyGenerator {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000;
    private static final int RANDOM_BITS_MASK = 0xfff;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long VARIANT_MASK = 0x3fff_ffff_ffff_ffffL;

    private KeyGenerator() {}

    static String next(long epochMillis, SplittableRandom random) {
        long high = (epochMillis << TIME_SHIFT) | VERSION | random.nextInt(RANDOM_BITS_MASK + 1);
        long low = VARIANT | (random.nextLong() & VARIANT_MASK);
        return new UUID(high, low).toString();
    }
}
