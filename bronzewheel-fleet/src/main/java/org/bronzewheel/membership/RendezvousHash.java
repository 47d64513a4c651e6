package org.bronzewheel.membership;

/** Rendezvous hashing: all routers rank ids in the same order. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Returns the score of an id under a key.
     *
     * @param key the key to rank for, for example the name of a pool
     * @param id the id, for example a VM
     * @return the score; scores of different ids are compared as signed numbers
     */
    public static long score(String key, String id) {
        long hash = add(FNV_OFFSET, key);
        hash = add(hash ^ '/', id);
        return mix(hash);
    }

    private static long add(long hash, String text) {
        long result = hash;
        for (int i = 0; i < text.length(); i++) {
            result = (result ^ text.charAt(i)) * FNV_PRIME;
        }
        return result;
    }

    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_SECOND;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }
}
