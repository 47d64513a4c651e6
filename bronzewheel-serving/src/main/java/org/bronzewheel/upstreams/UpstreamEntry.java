package org.bronzewheel.upstreams;

/**
 * An upstream as published by the platform.
 *
 * @param id the id of the upstream instance; each start normally has a new one
 * @param service the service that it belongs to
 * @param address its IP number and port, separated by a colon
 * @param failureDomain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param startedMillis when it started, in milliseconds since 1970; 0 if unknown
 * @param leaving whether it is to get no new work
 * @param coldRemainingMillis how long it is still cold, in milliseconds from when the entry was
 *     written; 0 if it is not
 */
public record UpstreamEntry(
        String id,
        String service,
        String address,
        String failureDomain,
        int slots,
        long startedMillis,
        boolean leaving,
        long coldRemainingMillis) {
    /**
     * Creates an entry of an upstream that is not cold.
     *
     * @param id the id of the upstream instance
     * @param service the service that it belongs to
     * @param address its IP number and port, separated by a colon
     * @param failureDomain its failure domain
     * @param slots the number of requests that it runs concurrently
     * @param startedMillis when it started, in milliseconds since 1970; 0 if unknown
     * @param leaving whether it is to get no new work
     */
    public UpstreamEntry(
            String id,
            String service,
            String address,
            String failureDomain,
            int slots,
            long startedMillis,
            boolean leaving) {
        this(id, service, address, failureDomain, slots, startedMillis, leaving, 0);
    }

    /**
     * Returns this entry with the upstream marked as leaving.
     *
     * @return the entry
     */
    UpstreamEntry asLeaving() {
        return new UpstreamEntry(
                id,
                service,
                address,
                failureDomain,
                slots,
                startedMillis,
                true,
                coldRemainingMillis);
    }
}
