package org.bronzewheel.upstreams;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** The choice of the upstream for a call: the least expected time among the healthy ones. */
public final class UpstreamSelector {
    private static final double UNKNOWN_CALL_MILLIS = 1;

    private UpstreamSelector() {}

    /**
     * Chooses an upstream of a plain service.
     *
     * @param candidates the upstreams that may get work
     * @param tried the ids of upstreams that had the request before
     * @param ownFailureDomain the failure domain that is preferred among equals
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the upstream, or empty where there is none
     */
    public static Optional<Upstream> selectForService(
            List<Upstream> candidates, Set<String> tried, String ownFailureDomain, long nowMillis) {
        return selectCheapest(candidates, tried, nowMillis, u -> plainCost(u, ownFailureDomain));
    }

    /**
     * Chooses the upstream with the least cost: healthy before ejected or leaving ones.
     *
     * @param candidates the upstreams that may get work
     * @param tried the ids of upstreams that had the request before
     * @param nowMillis the time, in milliseconds of the steady clock
     * @param cost the cost of an upstream
     * @return the upstream, or empty where there is none
     */
    public static Optional<Upstream> selectCheapest(
            List<Upstream> candidates,
            Set<String> tried,
            long nowMillis,
            ToDoubleFunction<Upstream> cost) {
        return candidates.stream()
                .filter(u -> !u.isMisdirected() && !tried.contains(u.entry().id()))
                .min(
                        Comparator.<Upstream, Boolean>comparing(u -> u.isDeprioritized(nowMillis))
                                .thenComparingDouble(cost));
    }

    private static double plainCost(Upstream upstream, String ownFailureDomain) {
        double millis = Math.max(UNKNOWN_CALL_MILLIS, upstream.millisPerCall());
        int full = Math.max(1, upstream.entry().slots());
        double queueing = Math.max(1, (upstream.callsInFlight() + 1.0) / full);
        double load = 1 + 0.25 * upstream.callsInFlight();
        double distance = upstream.entry().failureDomain().equals(ownFailureDomain) ? 0 : 0.5;
        return millis * queueing * load + distance;
    }
}
