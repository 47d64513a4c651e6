package org.bronzewheel.cost;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.request.Usage;

/**
 * The cost of calls by stage and workspace. Its size is bounded by stages times workspaces. Not
 * safe for use by several threads.
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
     * Books the usage of one call.
     *
     * @param pipeline the pipeline
     * @param stage the stage
     * @param workspace the workspace
     * @param kind why the cost arose
     * @param usage what the call consumed
     */
    public void add(String pipeline, String stage, String workspace, CostKind kind, Usage usage) {
        Sum sum = sums.computeIfAbsent(new Key(pipeline, stage, workspace, kind), k -> new Sum());
        sum.usage = sum.usage.plus(usage);
        sum.calls++;
    }

    /**
     * Returns all lines, ordered by pipeline, stage, workspace and kind.
     *
     * @return the lines
     */
    public List<CostEntry> entries() {
        return sums.entrySet().stream()
                .map(e -> entry(e.getKey(), e.getValue()))
                .sorted(ORDER)
                .toList();
    }

    /**
     * Returns the sum of one kind over all stages and workspaces.
     *
     * @param kind why the cost arose
     * @return the sum
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
