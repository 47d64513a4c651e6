package org.bronzewheel.catalog;

/**
 * One moment by both clocks of a machine.
 *
 * @param steadyMillis the steady clock, which stops while the machine is suspended, in milliseconds
 * @param wallMillis the time of day, which may jump, in milliseconds since 1970
 */
public record ClockReading(long steadyMillis, long wallMillis) {
    /**
     * Returns the time since an earlier moment, by the clock that says more.
     *
     * @param earlier the earlier moment
     * @return the time in milliseconds
     */
    public long millisSince(ClockReading earlier) {
        return Math.max(steadyMillis - earlier.steadyMillis, wallMillis - earlier.wallMillis);
    }

    /**
     * Returns an earlier moment.
     *
     * @param millis how much earlier, in milliseconds
     * @return the moment
     */
    public ClockReading minusMillis(long millis) {
        return new ClockReading(steadyMillis - millis, wallMillis - millis);
    }

    /**
     * Tells whether this moment is the later one by the steady clock.
     *
     * @param other the other moment
     * @return whether this moment is later
     */
    public boolean isAfter(ClockReading other) {
        return steadyMillis > other.steadyMillis;
    }
}
