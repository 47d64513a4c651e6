package org.bronzewheel.serving;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The times that attempts take to an answer, or to the first event of a stream, by route and
 * service. All attempts of one router are recorded here.
 *
 * <p>An attempt that is given up shows that an answer takes longer. One upstream that does not
 * answer may be broken; attempts that two upstreams leave unanswered, without an answer in between,
 * raise the estimate, as the work of the route may have become longer. Confined to the serving
 * loop.
 */
final class AnswerTimes {
    private static final double SMOOTHING = 0.2;
    private static final int MAX_ESTIMATES = 4_096;

    private final Map<Key, Estimate> estimates =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Key, Estimate> eldest) {
                    return size() > MAX_ESTIMATES;
                }
            };

    private record Key(String route, String service) {}

    private static final class Estimate {
        private boolean answered;
        private double answeredMillis;
        private long leastMillis;
        private long unansweredMillis;
        private String unansweredUpstream = "";
        private boolean unansweredByTwo;

        /** Returns the time that an answer takes at least, as far as unanswered attempts show. */
        long boundMillis() {
            return unansweredByTwo ? unansweredMillis : 0;
        }
    }

    private Estimate estimate(String route, String service) {
        return estimates.computeIfAbsent(new Key(route, service), unknown -> new Estimate());
    }

    /** Records an answer, or the first event of a stream. */
    void recordAnswer(String route, String service, long elapsedMillis) {
        Estimate estimate = estimate(route, service);
        // An answer that takes as long as the unanswered attempts shows that all answers do now.
        boolean confirmsBound =
                estimate.unansweredByTwo && elapsedMillis >= estimate.unansweredMillis;
        estimate.answeredMillis =
                estimate.answered && !confirmsBound
                        ? estimate.answeredMillis
                                + SMOOTHING * (elapsedMillis - estimate.answeredMillis)
                        : elapsedMillis;
        estimate.leastMillis =
                estimate.answered ? Math.min(estimate.leastMillis, elapsedMillis) : elapsedMillis;
        estimate.answered = true;
        estimate.unansweredMillis = 0;
        estimate.unansweredUpstream = "";
        estimate.unansweredByTwo = false;
    }

    /** Records that an attempt was given up without an answer. */
    void recordNoAnswer(String route, String service, String upstreamId, long elapsedMillis) {
        Estimate estimate = estimate(route, service);
        estimate.unansweredMillis = Math.max(estimate.unansweredMillis, elapsedMillis);
        estimate.unansweredByTwo |=
                !estimate.unansweredUpstream.isEmpty()
                        && !estimate.unansweredUpstream.equals(upstreamId);
        estimate.unansweredUpstream = upstreamId;
    }

    /** Returns whether an attempt was answered. */
    boolean hasAnswer(String route, String service) {
        return estimate(route, service).answered;
    }

    /** Returns the smoothed time to an answer, in milliseconds; 0 before the first answer. */
    double usualMillis(String route, String service) {
        return estimate(route, service).answeredMillis;
    }

    /** Returns the time that an answer takes at least, as far as unanswered attempts show. */
    long boundMillis(String route, String service) {
        return estimate(route, service).boundMillis();
    }

    /** Returns the time of the fastest attempt, in milliseconds; 0 before the first answer. */
    long leastMillis(String route, String service) {
        return estimate(route, service).leastMillis;
    }
}
