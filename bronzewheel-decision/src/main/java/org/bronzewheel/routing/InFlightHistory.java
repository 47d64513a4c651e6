package org.bronzewheel.routing;

/** A ring buffer of recent changes of the number of this router's calls in flight at one worker. */
final class InFlightHistory {
    private static final int SIZE = 32;

    private final long[] atNanos = new long[SIZE];
    private final int[] before = new int[SIZE];
    private int next;
    private int count;

    void recordChange(long nowNanos, int inFlightBefore) {
        atNanos[next] = nowNanos;
        before[next] = inFlightBefore;
        next = (next + 1) % SIZE;
        count = Math.min(count + 1, SIZE);
    }

    /**
     * Returns the number of calls in flight at a past time, or the oldest known number if the
     * buffer does not reach back that far.
     */
    int inFlightAt(long timeNanos, int inFlightNow) {
        int result = inFlightNow;
        for (int i = 1; i <= count; i++) {
            int slot = Math.floorMod(next - i, SIZE);
            if (atNanos[slot] <= timeNanos) {
                return result;
            }
            result = before[slot];
        }
        return result;
    }
}
