package org.bronzewheel.catalog;

/**
 * A point in time, read from the monotonic clock and the wall clock of a machine.
 *
 * @param steadyMillis the monotonic clock, which stops while the machine is suspended, in
 *     milliseconds
 * @param wallMillis the wall clock, which may jump, in milliseconds since the epoch
 */
public record ClockReading(long steadyMillis, long wallMillis) {
    /**
     * Returns the time elapsed since an earlier reading, by the clock that advanced more.
     *
     * @param earlier the earlier reading
     * @return the elapsed time in milliseconds
     */
    public long millisSince(ClockReading earlier) {
        return Math.max(steadyMillis - earlier.steadyMillis, wallMillis - earlier.wallMillis);
    }

    /**
     * Returns this reading with both clocks moved back.
     *
     * @param millis the time to subtract, in milliseconds
     * @return the earlier reading
     */
    public ClockReading minusMillis(long millis) {
        return new ClockReading(steadyMillis - millis, wallMillis - millis);
    }

    /**
     * Returns whether this reading is later than another one on the monotonic clock.
     *
     * @param other the other reading
     * @return whether this reading is later
     */
    public boolean isAfter(ClockReading other) {
        return steadyMillis > other.steadyMillis;
    }
}
