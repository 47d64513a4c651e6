package org.bronzewheel.peering;

/**
 * The newest sign of life of a router, as another router passes it on.
 *
 * @param vmId the VM of the router
 * @param incarnation distinct for each start of its process, larger for a later one
 * @param beat a count that grows while the process lives; 0 where the router is only named
 * @param leaving whether the router stops
 * @param capacity what the router can do for others, as {@link RouterCapacity} measures it
 */
public record Heartbeat(String vmId, long incarnation, long beat, boolean leaving, int capacity) {
    /**
     * Creates the sign of a router of usual capacity.
     *
     * @param vmId the VM of the router
     * @param incarnation distinct for each start of its process
     * @param beat a count that grows while the process lives
     * @param leaving whether the router stops
     */
    public Heartbeat(String vmId, long incarnation, long beat, boolean leaving) {
        this(vmId, incarnation, beat, leaving, RouterCapacity.DEFAULT);
    }
}
