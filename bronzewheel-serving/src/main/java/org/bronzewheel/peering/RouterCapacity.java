package org.bronzewheel.peering;

/** The measure of what a router can do for others, by what its VM has least of. */
public final class RouterCapacity {
    /** The capacity of a VM that does not say what it has. */
    public static final int DEFAULT = 1_000;

    /** The processor of a VM of usual capacity, in cores. */
    private static final double USUAL_CORES = 1;

    /** The link of a VM of usual capacity, in megabits a second. */
    private static final double USUAL_LINK_MEGABITS = 100;

    private RouterCapacity() {}

    /**
     * Returns the capacity of a VM.
     *
     * @param cores its processor, in cores
     * @param linkMegabits its link, in megabits a second
     * @return the capacity, at least 1
     */
    public static int of(double cores, double linkMegabits) {
        double part = Math.min(cores / USUAL_CORES, linkMegabits / USUAL_LINK_MEGABITS);
        return (int) Math.max(1, Math.round(DEFAULT * part));
    }
}
