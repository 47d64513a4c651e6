package org.bronzewheel.upstreams;

/**
 * An upstream as the platform publishes it.
 *
 * @param id the incarnation of the upstream; each start has a new one
 * @param service the service that it belongs to
 * @param address its IP number and port, separated by a colon
 * @param failureDomain its failure domain
 * @param slots the requests that it runs at the same time
 * @param startedMillis when it started, in milliseconds since 1970; 0 where it does not say
 * @param leaving whether it is to get no new work
 */
public record UpstreamEntry(
        String id,
        String service,
        String address,
        String failureDomain,
        int slots,
        long startedMillis,
        boolean leaving) {}
