package org.bronzewheel.inventory;

import java.util.List;

/**
 * A pool of equivalent upstreams and the guarantees that they give.
 *
 * @param name the name, unique among pools
 * @param kind the protocol that its upstreams speak
 * @param concurrencyPerUpstream the maximum of concurrent calls per upstream, at least 1
 * @param reportsLoad whether its upstreams report their load
 * @param checksKeys whether its upstreams refuse to run the same idempotency key twice
 * @param checksFencing whether its engines refuse orders with an old fencing number
 * @param refusalProvesNotRun whether status 503 of its upstreams proves that the call did not run
 * @param callsPerSecondLimit calls per second that the whole fleet may send to it, 0 for no limit
 * @param models names of the models that each of its engines has to load, in order of preference
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
