package org.bronzewheel.peering;

/**
 * The capacity of a router for work on behalf of others, given by the scarcest resource of its VM.
 */
public final class RouterCapacity {
    /** The capacity of a VM that does not report its resources. */
    public static final int DEFAULT = 1_000;

    /** The processor cores of a VM with the default capacity. */
    private static final double DEFAULT_CORES = 1;

    /** The link of a VM with the default capacity, in megabits per second. */
    private static final double DEFAULT_LINK_MEGABITS = 100;

    private RouterCapacity() {}

    /**
     * Returns the capacity of a VM.
     *
     * @param cores the number of its processor cores
     * @param linkMegabits the bandwidth of its link, in megabits per second
     * @return the capacity, at least 1
     */
    public static int of(double cores, double linkMegabits) {
        double part = Math.min(cores / DEFAULT_CORES, linkMegabits / DEFAULT_LINK_MEGABITS);
        return (int) Math.max(1, Math.round(DEFAULT * part));
    }
}
