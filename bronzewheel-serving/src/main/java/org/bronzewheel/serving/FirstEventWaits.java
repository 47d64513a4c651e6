package org.bronzewheel.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the wait for the first event at model engines, by service and rank: the number of
 * waiting requests over the rate at which requests start (Little's law), with exponential decay of
 * older observations. Waiting requests count from when they are sent, so a stalled queue shows up
 * without any request having ended.
 */
final class FirstEventWaits {
    /** The time in which the weight of an observation decays to 1/e, in milliseconds. */
    private static final double DECAY_MILLIS = 3_000;

    private final Map<Key, Wait> waits = new HashMap<>();

    private record Key(String service, int rank) {}

    private static final class Wait {
        private int waiting;
        private double waitedMillis;
        private double started;
        private long atMillis;

        void advance(long nowMillis) {
            double decay = Math.exp((atMillis - nowMillis) / DECAY_MILLIS);
            waitedMillis = waitedMillis * decay + waiting * DECAY_MILLIS * (1 - decay);
            started *= decay;
            atMillis = nowMillis;
        }
    }

    private Wait updated(String service, int rank, long nowMillis) {
        Wait wait = waits.computeIfAbsent(new Key(service, rank), absent -> new Wait());
        wait.advance(nowMillis);
        return wait;
    }

    /** Records that a request was sent. */
    void sent(String service, int rank, long nowMillis) {
        updated(service, rank, nowMillis).waiting++;
    }

    /**
     * Records the end of a wait.
     *
     * @param started whether the engine started on the request
     */
    void ended(String service, int rank, boolean started, long nowMillis) {
        Wait wait = updated(service, rank, nowMillis);
        wait.waiting--;
        wait.started += started ? 1 : 0;
    }

    /** Returns the expected time until an engine starts on a request sent now, in milliseconds. */
    long expectedMillis(String service, int rank, long nowMillis) {
        Wait wait = updated(service, rank, nowMillis);
        return Math.round(wait.waitedMillis / (1 + wait.started));
    }
}
