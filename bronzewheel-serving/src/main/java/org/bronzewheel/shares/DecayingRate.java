package org.bronzewheel.shares;

/** An arrival rate with exponential decay. */
public final class DecayingRate {
    /** The time in which the weight of an arrival falls to 1/e, in milliseconds. */
    private static final double DECAY_MILLIS = 3_000;

    private double weight;
    private long updatedMillis;

    /**
     * Records arrivals at the current time.
     *
     * @param count the number of arrivals
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void add(double count, long nowMillis) {
        weight = weightAt(nowMillis) + count;
        updatedMillis = nowMillis;
    }

    /**
     * Removes arrivals that were recorded earlier, at their decayed weight.
     *
     * @param count the number of arrivals
     * @param arrivedMillis when they were recorded, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void remove(double count, long arrivedMillis, long nowMillis) {
        add(-count * Math.exp((arrivedMillis - nowMillis) / DECAY_MILLIS), nowMillis);
    }

    /**
     * Returns the arrivals per millisecond.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the rate
     */
    public double perMilli(long nowMillis) {
        return weightAt(nowMillis) / DECAY_MILLIS;
    }

    private double weightAt(long nowMillis) {
        return weight * Math.exp((updatedMillis - nowMillis) / DECAY_MILLIS);
    }
}
