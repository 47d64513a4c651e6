package org.bronzewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzewheel.inventory.Upstream;

/**
 * Deterministic subsetting: the subset of a large pool that one router sends to.
 *
 * <p>Routers with the same view of the pool choose subsets that cover it evenly. Only a few routers
 * then share a worker, so that each of them knows a large part of the worker's load from its own
 * calls. Each subset is distributed over the failure domains in the same way as the pool.
 */
final class Subset {
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Subset() {}

    /** Returns the names of the workers in the subset of the router with the given position. */
    static Set<String> of(Collection<Upstream> pool, int position, int subsetCount) {
        int round = position / subsetCount;
        List<Upstream> ordered = new ArrayList<>(pool);
        ordered.sort(
                Comparator.comparing(Upstream::failureDomain)
                        .thenComparingLong(u -> mix(u.name().hashCode(), round))
                        .thenComparing(Upstream::name));
        Set<String> names = new HashSet<>();
        for (int i = position % subsetCount; i < ordered.size(); i += subsetCount) {
            names.add(ordered.get(i).name());
        }
        return names;
    }

    private static long mix(int hash, int round) {
        long z = ((long) hash << Integer.SIZE) ^ round;
        z = (z ^ (z >>> 30)) * MIX_1;
        z = (z ^ (z >>> 27)) * MIX_2;
        return z ^ (z >>> 31);
    }
}
