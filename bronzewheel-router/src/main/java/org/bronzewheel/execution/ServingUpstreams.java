package org.bronzewheel.execution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.routing.WorkerTable;

/**
 * The upstreams of each pool that may get new work. Not safe for use by several threads; {@link
 * PolicyWorkers} guards it.
 */
final class ServingUpstreams {
    private final Map<String, Set<String>> known = new HashMap<>();
    private final Map<String, Set<String>> serving = new HashMap<>();

    /** Takes over the members of a pool and which of them are leaving. */
    void update(Pool pool, WorkerTable workers, Set<String> leaving, long nowNanos) {
        Set<String> before = known.get(pool.name());
        Set<String> now = new HashSet<>();
        Set<String> staying = new HashSet<>();
        for (Upstream upstream : pool.upstreams()) {
            now.add(upstream.name());
            boolean joinsLater = before != null && !before.contains(upstream.name());
            workers.add(upstream, joinsLater, nowNanos);
            workers.setLeaving(upstream.name(), leaving.contains(upstream.name()));
            if (!leaving.contains(upstream.name())) {
                staying.add(upstream.name());
            }
        }
        if (before != null) {
            before.stream().filter(name -> !now.contains(name)).forEach(workers::remove);
        }
        known.put(pool.name(), now);
        serving.put(pool.name(), staying);
    }

    boolean isEmpty(Pool pool) {
        return serving.containsKey(pool.name()) && serving.get(pool.name()).isEmpty();
    }

    /** Returns the upstreams to be left out; none where that would leave nobody. */
    Set<String> exclusions(Pool pool, Set<String> tried) {
        Set<String> left = new HashSet<>(serving.getOrDefault(pool.name(), Set.of()));
        left.removeAll(tried);
        return left.isEmpty() ? Set.of() : tried;
    }
}
