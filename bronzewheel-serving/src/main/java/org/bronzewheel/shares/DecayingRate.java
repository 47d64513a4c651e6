package org.bronzewheel.shares;

/** A rate of things that arrive, in which older arrivals count exponentially less. */
public final class DecayingRate {
    /** The time in which the weight of an arrival falls to 1/e, in milliseconds. */
    private static final double MEMORY_MILLIS = 3_000;

    private double weight;
    private long bookedMillis;

    /**
     * Books things that arrive now.
     *
     * @param count the number of things
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void add(double count, long nowMillis) {
        weight = weightAt(nowMillis) + count;
        bookedMillis = nowMillis;
    }

    /**
     * Takes things out that were booked at an earlier time.
     *
     * @param count the number of things
     * @param arrivedMillis when they were booked, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void remove(double count, long arrivedMillis, long nowMillis) {
        add(-count * Math.exp((arrivedMillis - nowMillis) / MEMORY_MILLIS), nowMillis);
    }

    /**
     * Returns how many things arrive in a millisecond.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the rate
     */
    public double perMilli(long nowMillis) {
        return weightAt(nowMillis) / MEMORY_MILLIS;
    }

    private double weightAt(long nowMillis) {
        return weight * Math.exp((bookedMillis - nowMillis) / MEMORY_MILLIS);
    }
}
