package org.bronzewheel.serving;

import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.loop.TimeEstimate;

/**
 * Tells which requests this router can still complete before it exits, by the time that requests of
 * the same route have taken at their upstreams.
 */
final class StopPlan {
    private static final long NOT_STOPPING = Long.MAX_VALUE;
    private static final int MAX_ROUTES = 4_096;

    private final Map<String, TimeEstimate> upstreamTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, TimeEstimate> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    private long exitAtMillis = NOT_STOPPING;

    /**
     * Sets the time of the exit.
     *
     * @param millis the time, in milliseconds of the steady clock
     */
    void exitAt(long millis) {
        exitAtMillis = millis;
    }

    /**
     * Records a complete response.
     *
     * @param route the route of its request
     * @param elapsedMillis the time since the request was sent to its upstream, in milliseconds
     */
    void completed(ServiceRoute route, long elapsedMillis) {
        upstreamTimes
                .computeIfAbsent(route.name(), name -> new TimeEstimate())
                .sample((double) elapsedMillis);
    }

    /**
     * Returns whether a request can be completed before the exit.
     *
     * @param route the route of the request
     * @param sendAtMillis the earliest time at which it can be sent, in milliseconds of the steady
     *     clock
     * @return whether a response is expected in time; true if no stop is planned
     */
    boolean canComplete(ServiceRoute route, long sendAtMillis) {
        if (exitAtMillis == NOT_STOPPING) {
            return true;
        }
        TimeEstimate time = upstreamTimes.get(route.name());
        double upstreamMillis =
                time == null
                        ? route.objectiveMillis()
                        : time.millisOr((double) route.objectiveMillis());
        return sendAtMillis + upstreamMillis <= exitAtMillis;
    }
}
