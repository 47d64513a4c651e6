package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which an owner serves waiting tasks.
 *
 * <p>Rank decides first, and within a rank the arrival. A task that will miss its objective anyway
 * falls behind the on-time tasks of the next rank, for its answer is worth little more by being
 * less late. Every few calls the oldest task goes first, so that no rank starves.
 */
final class StageOrder {
    private static final int STEP = 2;
    private static final int LATE_PENALTY = 3;
    private static final int OLDEST_FIRST_EVERY = 6;

    private int calls;

    List<StageTask> order(List<StageTask> tasks, double callMillis, long nowMillis) {
        calls++;
        List<StageTask> ordered = new ArrayList<>(tasks);
        Comparator<StageTask> byArrival = Comparator.comparingLong(StageTask::arrivedMillis);
        ordered.sort(
                Comparator.<StageTask>comparingInt(task -> rank(task, callMillis, nowMillis))
                        .thenComparing(byArrival));
        if (calls % OLDEST_FIRST_EVERY == 0) {
            tasks.stream()
                    .min(byArrival)
                    .ifPresent(
                            oldest -> {
                                ordered.remove(oldest);
                                ordered.add(0, oldest);
                            });
        }
        return ordered;
    }

    private static int rank(StageTask task, double callMillis, long nowMillis) {
        StageJob job = task.job();
        boolean late = nowMillis + callMillis + job.laterMillis() > job.objectiveAtMillis();
        return job.rank() * STEP + (late ? LATE_PENALTY : 0);
    }
}
