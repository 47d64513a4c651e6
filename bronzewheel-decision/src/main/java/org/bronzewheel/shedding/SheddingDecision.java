package org.bronzewheel.shedding;

import java.util.List;

/**
 * A decision on the tasks of a queue. Each task is either in the order or shed.
 *
 * @param order the tasks that are kept, in the order in which they should be served
 * @param displaced those of them that will miss their objective because of other tasks
 * @param late those of them that cannot meet their objective at any place
 * @param shed the tasks that cannot meet their deadline
 * @param <T> the type of a task
 */
public record SheddingDecision<T>(List<T> order, List<T> displaced, List<T> late, List<T> shed) {
    /**
     * Returns whether a task is in the order and will miss its objective.
     *
     * @param task the task
     * @return whether the task is displaced or late
     */
    public boolean isDelayed(T task) {
        return displaced.contains(task) || late.contains(task);
    }
}
