package org.bronzewheel.stages;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzewheel.shedding.SheddingDecision;

/** The latest decision on a queue; tasks that have arrived since have no place in it. */
final class StagePlan {
    /** A plan without tasks. */
    static final StagePlan NONE = new StagePlan(List.of(), List.of());

    private final Map<StageTask, Integer> places = new HashMap<>();
    private final Set<StageTask> displaced;

    private StagePlan(List<StageTask> order, List<StageTask> displaced) {
        order.forEach(task -> places.put(task, places.size()));
        this.displaced = Set.copyOf(displaced);
    }

    static StagePlan of(SheddingDecision<StageTask> decision) {
        return new StagePlan(decision.order(), decision.displaced());
    }

    /** Returns the place of a task in the order, or the last one if it is not part of it. */
    int place(StageTask task) {
        return places.getOrDefault(task, Integer.MAX_VALUE);
    }

    /** Returns the tasks that will miss their objective because of other tasks. */
    Set<StageTask> displaced() {
        return displaced;
    }
}
