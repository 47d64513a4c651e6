package org.bronzewheel.stages;

/** A rate of things that arrive, in which older arrivals count exponentially less. */
final class DecayingRate {
    private static final double MEMORY_MILLIS = 3_000;

    private double weight;
    private long bookedMillis;

    /** Books things that arrived at a time, which never goes back. */
    void add(double count, long nowMillis) {
        weight = weightAt(nowMillis) + count;
        bookedMillis = nowMillis;
    }

    /** Returns how many things arrive in a millisecond. */
    double perMilli(long nowMillis) {
        return weightAt(nowMillis) / MEMORY_MILLIS;
    }

    private double weightAt(long nowMillis) {
        return weight * Math.exp((bookedMillis - nowMillis) / MEMORY_MILLIS);
    }
}
