package org.bronzewheel.explain;

import java.util.Map;
import java.util.Set;

/**
 * What a router is assumed to know when it decides.
 *
 * @param failureDomain the failure domain of the router
 * @param routers the number of routers that share pools and limits, at least 1
 * @param stageMillis the usual time of stages by name, in milliseconds; stages without count as not
 *     observed yet
 * @param loads calls in progress by name of the upstream, as reported just now
 * @param leaving names of upstreams that are leaving
 * @param seed the seed of the choice between workers
 */
public record Situation(
        String failureDomain,
        int routers,
        Map<String, Long> stageMillis,
        Map<String, Integer> loads,
        Set<String> leaving,
        long seed) {}
