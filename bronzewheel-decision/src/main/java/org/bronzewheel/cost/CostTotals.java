package org.bronzewheel.cost;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.request.Usage;

/**
 * Accumulates the cost of calls by stage, workspace and kind. The size is bounded by the number of
 * stages times the number of workspaces. Not thread-safe.
 */
public final class CostTotals {
    private record Key(String pipeline, String stage, String workspace, CostKind kind) {}

    private static final class Sum {
        private Usage usage = Usage.NONE;
        private long calls;
    }

    private static final Comparator<CostEntry> ORDER =
            Comparator.comparing(CostEntry::pipeline)
                    .thenComparing(CostEntry::stage)
                    .thenComparing(CostEntry::workspace)
                    .thenComparing(CostEntry::kind);

    private final Map<Key, Sum> sums = new HashMap<>();

    /**
     * Adds the usage of one call.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param workspace the workspace
     * @param kind the kind of cost
     * @param usage the resources that the call used
     */
    public void add(String pipeline, String stage, String workspace, CostKind kind, Usage usage) {
        Sum sum = sums.computeIfAbsent(new Key(pipeline, stage, workspace, kind), k -> new Sum());
        sum.usage = sum.usage.plus(usage);
        sum.calls++;
    }

    /**
     * Returns all entries, ordered by pipeline, stage, workspace and kind.
     *
     * @return the entries
     */
    public List<CostEntry> entries() {
        return sums.entrySet().stream()
                .map(e -> entry(e.getKey(), e.getValue()))
                .sorted(ORDER)
                .toList();
    }

    /**
     * Returns the total usage of one kind of cost over all stages and workspaces.
     *
     * @param kind the kind of cost
     * @return the total usage
     */
    public Usage total(CostKind kind) {
        return sums.entrySet().stream()
                .filter(e -> e.getKey().kind() == kind)
                .map(e -> e.getValue().usage)
                .reduce(Usage.NONE, Usage::plus);
    }

    private static CostEntry entry(Key key, Sum sum) {
        return new CostEntry(
                key.pipeline(), key.stage(), key.workspace(), key.kind(), sum.usage, sum.calls);
    }
}
