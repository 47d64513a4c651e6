package org.bronzewheel.published;

import java.util.Optional;
import java.util.Set;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.peering.SeedMembership;

/**
 * Selects the routers that read the platform: every router in a small fleet, and one per cell of
 * routers in a larger one, which limits the load on the platform as the fleet grows.
 */
public final class ReaderSelector {
    /**
     * Fleet size above which one router of each cell reads for the others, to save platform calls.
     */
    private static final int MAX_ROUTERS_WITHOUT_CELLS = 12;

    private static final int ROUTERS_PER_CELL = 16;
    private static final String HASH_SALT = "reader/";

    private final String self;
    private final SeedMembership membership;
    private final Loop loop;

    /**
     * Creates a selector.
     *
     * @param self the VM of this router
     * @param membership the live routers
     * @param loop provides the clock
     */
    public ReaderSelector(String self, SeedMembership membership, Loop loop) {
        this.self = self;
        this.membership = membership;
        this.loop = loop;
    }

    /**
     * Returns the router through which this router reads the platform.
     *
     * @return its VM, or empty if this router reads the platform itself
     */
    public Optional<String> select() {
        long nowMillis = loop.nowMillis();
        int routers = membership.live(nowMillis).size();
        if (routers <= MAX_ROUTERS_WITHOUT_CELLS) {
            return Optional.empty();
        }
        int cells = (routers + ROUTERS_PER_CELL - 1) / ROUTERS_PER_CELL;
        boolean isReader = false;
        for (int cell = 0; cell < cells; cell++) {
            isReader |= membership.ownerOf(HASH_SALT + cell, Set.of(), nowMillis).equals(self);
        }
        if (isReader) {
            return Optional.empty();
        }
        long cell = Long.remainderUnsigned(RendezvousHash.score(HASH_SALT, self), cells);
        return Optional.of(membership.ownerOf(HASH_SALT + cell, Set.of(), nowMillis));
    }
}
