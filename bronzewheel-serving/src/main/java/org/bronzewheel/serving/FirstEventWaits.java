package org.bronzewheel.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * The waits for the first event at model engines, by service and rank: the requests that wait over
 * those that are begun in a time (Little's law), in which older ones count exponentially less.
 * Requests that wait count from their sending, so that a queue that stands still shows at once.
 */
final class FirstEventWaits {
    /** The time in which the weight of an observation falls to 1/e, in milliseconds. */
    private static final double MEMORY_MILLIS = 3_000;

    private final Map<Key, Wait> waits = new HashMap<>();

    private record Key(String service, int rank) {}

    private static final class Wait {
        private int waiting;
        private double waitedMillis;
        private double begun;
        private long atMillis;

        void advance(long nowMillis) {
            double kept = Math.exp((atMillis - nowMillis) / MEMORY_MILLIS);
            waitedMillis = waitedMillis * kept + waiting * MEMORY_MILLIS * (1 - kept);
            begun *= kept;
            atMillis = nowMillis;
        }
    }

    private Wait at(String service, int rank, long nowMillis) {
        Wait wait = waits.computeIfAbsent(new Key(service, rank), unknown -> new Wait());
        wait.advance(nowMillis);
        return wait;
    }

    /** Books a request that is sent. */
    void sent(String service, int rank, long nowMillis) {
        at(service, rank, nowMillis).waiting++;
    }

    /**
     * Books the end of a wait.
     *
     * @param begun whether the engine has begun with the request
     */
    void ended(String service, int rank, boolean begun, long nowMillis) {
        Wait wait = at(service, rank, nowMillis);
        wait.waiting--;
        wait.begun += begun ? 1 : 0;
    }

    /** Returns the time until a request that is sent now would be begun, in milliseconds. */
    long expectedMillis(String service, int rank, long nowMillis) {
        Wait wait = at(service, rank, nowMillis);
        return Math.round(wait.waitedMillis / (1 + wait.begun));
    }
}
