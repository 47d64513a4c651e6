package org.bronzewheel.upstreams;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual time to the first event by service and amount of unread prompt, which the time at one
 * engine is compared with. No rate of the engines is assumed: prompts are compared only with
 * prompts of a similar length. Confined to the serving loop.
 */
final class FirstEventTimes {
    /** Shorter prompts share one class, as fixed costs dominate their time. */
    private static final int MIN_TOKENS = 64;

    /** The number of samples below which a usual time is not compared with. */
    private static final int MIN_SAMPLES = 4;

    /** The number of samples over which a usual time is averaged. */
    private static final int AVERAGED_SAMPLES = 50;

    private static final double MIN_MILLIS = 1;

    private final Map<Key, LengthClass> classes = new HashMap<>();

    private record Key(String service, long doublings) {}

    private static final class LengthClass {
        private double meanLogMillis;
        private int samples;

        void sample(double logMillis) {
            samples = Math.min(AVERAGED_SAMPLES, samples + 1);
            meanLogMillis += (logMillis - meanLogMillis) / samples;
        }
    }

    /**
     * Records the first event of a request.
     *
     * @param upstream the engine that sent it
     * @param workTokens the prompt tokens that the engine had to read before, as far as known
     * @param elapsedMillis the time since the request was sent, in milliseconds
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void record(Upstream upstream, long workTokens, double elapsedMillis, long nowMillis) {
        LengthClass lengthClass =
                classes.computeIfAbsent(
                        new Key(upstream.entry().service(), lengthClass(workTokens)),
                        key -> new LengthClass());
        double logMillis = Math.log(Math.max(MIN_MILLIS, elapsedMillis));
        if (lengthClass.samples >= MIN_SAMPLES) {
            upstream.recordSlowness(Math.exp(logMillis - lengthClass.meanLogMillis), nowMillis);
        }
        lengthClass.sample(logMillis);
    }

    private static long lengthClass(long workTokens) {
        return Math.round(Math.log((double) Math.max(MIN_TOKENS, workTokens)) / Math.log(2));
    }
}
