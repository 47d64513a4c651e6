package org.bronzewheel.inventory;

import java.util.List;

/**
 * A pool of like upstreams and what they promise.
 *
 * @param name the name, unique among pools
 * @param kind the protocol that its upstreams speak
 * @param concurrencyPerUpstream calls that one upstream works on at once, at least 1
 * @param reportsLoad whether its upstreams report their load
 * @param checksKeys whether its upstreams refuse to run a repeated idempotency key twice
 * @param checksFencing whether its engines refuse orders with an old fencing number
 * @param refusalProvesNotRun whether status 503 of its upstreams proves that the call did not run
 * @param callsPerSecondLimit calls a second that the whole fleet may send to it, 0 for no limit
 * @param models names of the models that each of its engines shall hold, in order of preference
 * @param upstreams its members
 */
public record Pool(
        String name,
        PoolKind kind,
        int concurrencyPerUpstream,
        boolean reportsLoad,
        boolean checksKeys,
        boolean checksFencing,
        boolean refusalProvesNotRun,
        int callsPerSecondLimit,
        List<String> models,
        List<Upstream> upstreams) {}
