package org.bronzewheel.published;

import java.util.Optional;
import java.util.Set;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.peering.SeedMembership;

/**
 * The choice of the routers that read the platform: all in a small fleet, and one for each cell of
 * routers in a larger one, so that the platform's load grows slowly with the fleet.
 */
public final class ReaderSelector {
    /** Each call has its price; above this, one router of a cell reads for the others. */
    private static final int ALL_READ_ROUTERS = 12;

    private static final int CELL_ROUTERS = 16;
    private static final String KEY = "reader/";

    private final String self;
    private final SeedMembership membership;
    private final Loop loop;

    /**
     * Creates a choice.
     *
     * @param self the VM of this router
     * @param membership the other routers
     * @param loop tells the time
     */
    public ReaderSelector(String self, SeedMembership membership, Loop loop) {
        this.self = self;
        this.membership = membership;
        this.loop = loop;
    }

    /**
     * Returns the router that reads for this one.
     *
     * @return its VM, or empty where this router is to read itself
     */
    public Optional<String> select() {
        long nowMillis = loop.nowMillis();
        int routers = membership.live(nowMillis).size();
        if (routers <= ALL_READ_ROUTERS) {
            return Optional.empty();
        }
        int cells = (routers + CELL_ROUTERS - 1) / CELL_ROUTERS;
        boolean reads = false;
        for (int cell = 0; cell < cells; cell++) {
            reads |= membership.ownerOf(KEY + cell, Set.of(), nowMillis).equals(self);
        }
        if (reads) {
            return Optional.empty();
        }
        long cell = Long.remainderUnsigned(RendezvousHash.score(KEY, self), cells);
        return Optional.of(membership.ownerOf(KEY + cell, Set.of(), nowMillis));
    }
}
