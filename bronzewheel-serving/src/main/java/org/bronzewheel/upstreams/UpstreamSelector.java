package org.bronzewheel.upstreams;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Selects the upstream for a call by the lowest expected time among the healthy ones. */
public final class UpstreamSelector {
    private static final double MIN_CALL_MILLIS = 1;

    private UpstreamSelector() {}

    /**
     * Selects an upstream of a service without prompts, given only the load of this router.
     *
     * @param candidates the upstreams that accept new requests
     * @param tried the ids of upstreams that the request was already sent to
     * @param ownFailureDomain the failure domain that is preferred at equal cost
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the upstream, or empty if there is none
     */
    public static Optional<Upstream> selectForService(
            List<Upstream> candidates, Set<String> tried, String ownFailureDomain, long nowMillis) {
        return selectForService(
                candidates, tried, ownFailureDomain, new OtherRoutersLoad(), nowMillis);
    }

    /**
     * Selects an upstream of a service without prompts.
     *
     * @param candidates the upstreams that accept new requests
     * @param tried the ids of upstreams that the request was already sent to
     * @param ownFailureDomain the failure domain that is preferred at equal cost
     * @param others the load that the other routers put on the upstreams
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the upstream, or empty if there is none
     */
    public static Optional<Upstream> selectForService(
            List<Upstream> candidates,
            Set<String> tried,
            String ownFailureDomain,
            OtherRoutersLoad others,
            long nowMillis) {
        return selectCheapest(
                candidates,
                tried,
                nowMillis,
                u -> plainCost(u, ownFailureDomain, others.calls(u, nowMillis), nowMillis));
    }

    /**
     * Selects the upstream with the lowest cost; deprioritized ones are used only if there is no
     * other.
     *
     * @param candidates the upstreams that accept new requests
     * @param tried the ids of upstreams that the request was already sent to
     * @param nowMillis the time, in milliseconds of the steady clock
     * @param cost the cost of an upstream
     * @return the upstream, or empty if there is none
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

    private static double plainCost(
            Upstream upstream, String ownFailureDomain, double othersCalls, long nowMillis) {
        double millis =
                Math.max(MIN_CALL_MILLIS, upstream.millisPerCall())
                        * upstream.reportedSlowness(nowMillis);
        int full = Math.max(1, upstream.entry().slots());
        double calls =
                Math.max(
                        upstream.callsInFlight() + othersCalls,
                        upstream.reportedRunning(nowMillis) + upstream.reportedWaiting(nowMillis));
        double queueing = Math.max(1, (calls + 1) / full);
        double load = 1 + 0.25 * calls;
        double distance = upstream.entry().failureDomain().equals(ownFailureDomain) ? 0 : 0.5;
        return millis * queueing * load + distance;
    }
}
