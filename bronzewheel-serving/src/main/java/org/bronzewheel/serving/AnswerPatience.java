package org.bronzewheel.serving;

import org.bronzewheel.catalog.ServiceRoute;

/**
 * The time that one attempt may take to its answer before it is replaced, and the time that its
 * replacement needs, by the answers of its route at its service.
 *
 * <p>For engines the shortest time counts, as the usual one includes their queues.
 */
final class AnswerPatience {
    private static final double ANSWER_FACTOR = 2;
    private static final int UNKNOWN_ANSWER_FACTOR = 2;

    private final AnswerTimes times;
    private final ServiceRoute route;
    private final String service;
    private final boolean engine;

    AnswerPatience(AnswerTimes times, ServiceRoute route, String service, boolean engine) {
        this.times = times;
        this.route = route;
        this.service = service;
        this.engine = engine;
    }

    /** Records an answer, or the first event of a stream. */
    void answered(long elapsedMillis) {
        times.recordAnswer(route.name(), service, elapsedMillis);
    }

    /**
     * Records that the attempt was given up without an answer. Where an engine has answered before,
     * that shows a queue or a failure rather than the time of answers.
     */
    void unanswered(String upstreamId, long elapsedMillis) {
        if (!engine || !hasAnswer()) {
            times.recordNoAnswer(route.name(), service, upstreamId, elapsedMillis);
        }
    }

    private boolean hasAnswer() {
        return times.hasAnswer(route.name(), service);
    }

    private double answerMillis() {
        return engine
                ? times.leastMillis(route.name(), service)
                : times.usualMillis(route.name(), service);
    }

    private long boundMillis() {
        return times.boundMillis(route.name(), service);
    }

    /**
     * Returns how long an attempt may be silent before it is replaced: a multiple of the time of an
     * answer or, before the first one of a plain service, the objective of the route.
     */
    long silenceMillis() {
        double millis =
                engine || hasAnswer() ? ANSWER_FACTOR * answerMillis() : route.objectiveMillis();
        return Math.max(Math.round(millis), boundMillis());
    }

    /**
     * Returns whether an attempt that begins now can be answered while the caller waits. Before the
     * first answer of the route, it is assumed to take twice as long as the silent attempt has
     * taken so far.
     *
     * @param elapsedMillis the time that the silent attempt has taken, in milliseconds
     * @param remainingMillis how long the caller waits, in milliseconds
     */
    boolean leavesTimeForNext(long elapsedMillis, long remainingMillis) {
        long neededMillis =
                hasAnswer() || boundMillis() > 0
                        ? Math.max(Math.round(answerMillis()), boundMillis())
                        : UNKNOWN_ANSWER_FACTOR * elapsedMillis;
        return remainingMillis >= neededMillis;
    }
}
