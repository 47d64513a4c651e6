package org.bronzewheel.stages;

/** A rate of things that arrive, in which older arrivals count exponentially less. */
final class DecayingRate {
    /** The time in which the weight of an arrival falls to 1/e, in milliseconds. */
    private static final double MEMORY_MILLIS = 3_000;

    private double weight;
    private long bookedMillis;

    /** Books things that arrive now. */
    void add(double count, long nowMillis) {
        weight = weightAt(nowMillis) + count;
        bookedMillis = nowMillis;
    }

    /** Takes things out that were booked at an earlier time. */
    void remove(double count, long arrivedMillis, long nowMillis) {
        add(-count * Math.exp((arrivedMillis - nowMillis) / MEMORY_MILLIS), nowMillis);
    }

    /** Returns how many things arrive in a millisecond. */
    double perMilli(long nowMillis) {
        return weightAt(nowMillis) / MEMORY_MILLIS;
    }

    private double weightAt(long nowMillis) {
        return weight * Math.exp((bookedMillis - nowMillis) / MEMORY_MILLIS);
    }
}
