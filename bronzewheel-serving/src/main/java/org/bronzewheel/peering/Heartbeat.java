package org.bronzewheel.peering;

/**
 * The latest heartbeat of a router, sent directly or forwarded by another router.
 *
 * @param vmId the VM of the router
 * @param incarnation distinct for each start of its process, normally larger for a later one
 * @param beat a counter that grows while the process runs; 0 if the entry only lists the router
 * @param leaving whether the router is shutting down
 * @param capacity the capacity of the router in units of {@link RouterCapacity}
 */
public record Heartbeat(String vmId, long incarnation, long beat, boolean leaving, int capacity) {
    /**
     * Creates the heartbeat of a router with the default capacity.
     *
     * @param vmId the VM of the router
     * @param incarnation distinct for each start of its process
     * @param beat a counter that grows while the process runs
     * @param leaving whether the router is shutting down
     */
    public Heartbeat(String vmId, long incarnation, long beat, boolean leaving) {
        this(vmId, incarnation, beat, leaving, RouterCapacity.DEFAULT);
    }
}
