package org.bronzewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzewheel.inventory.Upstream;

/**
 * The part of a large pool that one router sends to.
 *
 * <p>Routers with the same lists choose parts that cover the pool evenly, so that the few routers
 * that share a worker each know a good part of its load from their own calls. Each part is spread
 * over the failure domains as the pool is.
 */
final class Subset {
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private Subset() {}

    /** Returns the names of the part of the router at a position in the list of routers. */
    static Set<String> of(Collection<Upstream> pool, int position, int parts) {
        int round = position / parts;
        List<Upstream> ordered = new ArrayList<>(pool);
        ordered.sort(
                Comparator.comparing(Upstream::failureDomain)
                        .thenComparingLong(u -> mix(u.name().hashCode(), round))
                        .thenComparing(Upstream::name));
        Set<String> names = new HashSet<>();
        for (int i = position % parts; i < ordered.size(); i += parts) {
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
