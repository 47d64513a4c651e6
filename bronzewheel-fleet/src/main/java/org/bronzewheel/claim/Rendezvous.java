package org.bronzewheel.claim;

/** The score of rendezvous hashing: all routers order the VMs of an item alike. */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /**
     * Scores a VM for an item.
     *
     * @param item what is to be placed
     * @param vmId a VM
     * @return the score; the lowest is preferred
     */
    public static long score(String item, String vmId) {
        return mix(mix(hash(item)) ^ mix(hash(vmId)));
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
