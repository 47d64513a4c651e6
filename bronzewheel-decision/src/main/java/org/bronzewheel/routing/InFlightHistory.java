package org.bronzewheel.routing;

/** A ring of recent changes of the number of own calls in flight at one worker. */
final class InFlightHistory {
    private static final int SIZE = 32;

    private final long[] atNanos = new long[SIZE];
    private final int[] before = new int[SIZE];
    private int next;
    private int filled;

    void changed(long nowNanos, int inFlightBefore) {
        atNanos[next] = nowNanos;
        before[next] = inFlightBefore;
        next = (next + 1) % SIZE;
        filled = Math.min(filled + 1, SIZE);
    }

    /** Returns the calls in flight at a past time; older than the ring gives its oldest value. */
    int inFlightAt(long timeNanos, int inFlightNow) {
        int result = inFlightNow;
        for (int i = 1; i <= filled; i++) {
            int slot = Math.floorMod(next - i, SIZE);
            if (atNanos[slot] <= timeNanos) {
                return result;
            }
            result = before[slot];
        }
        return result;
    }
}
