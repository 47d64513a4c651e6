package org.bronzewheel.shedding;

import java.util.List;

/**
 * A decision on the tasks of a queue. Each task is either in the order or shed.
 *
 * @param order the tasks that are kept, in the order in which they should be served
 * @param delayed those of them that will miss their objective
 * @param shed the tasks that cannot meet their deadline
 * @param <T> the type of a task
 */
public record SheddingDecision<T>(List<T> order, List<T> delayed, List<T> shed) {}
