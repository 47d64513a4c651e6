package org.bronzewheel.shedding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Decides which tasks of a queue are kept on time, which are delayed and which are shed when not
 * all can be on time.
 *
 * <p>Ranks are decided from the most urgent one on, each with the capacity that the ranks before it
 * leave, so that no rank displaces a more urgent one. Within a rank, as many tasks as possible are
 * kept on time (Moore-Hodgson): tasks are added by due date, and whenever one would be late, the
 * one with most work is given up. The tasks on time are served by objective if all are still on
 * time then, as this prefers requests near completion, and by due date otherwise.
 *
 * <p>The tasks that are given up are displaced behind the others of their rank. They precede the
 * next rank, because they are on time after all if the capacity is underestimated. Tasks that
 * cannot meet their objective at any place are late and follow the tasks on time of the next rank.
 * Of displaced and of late tasks as many as possible meet their deadline, those with the least
 * remaining work first. A task that cannot meet its deadline behind them is shed.
 *
 * <p>A task waits for the work that is ahead of it, or for that of its own rank at the rank's
 * guaranteed share, whichever is shorter. Tasks that arrive later do not count. The time of a
 * decision is O(n log n), plus one query of the guaranteed share for each rank.
 *
 * @param <T> the type of a task
 */
public final class LoadShedding<T> {
    /** The queue order: late tasks of a rank are behind the tasks of the next one. */
    private static final int RANK_STEP = 2;

    private static final int LATE_PENALTY = 3;

    private final Comparator<QueuedTask<T>> tieBreak =
            Comparator.comparingDouble((QueuedTask<T> queued) -> queued.workMillis())
                    .thenComparingDouble(QueuedTask::laterMillis)
                    .thenComparing(QueuedTask::requestId)
                    .thenComparingInt(QueuedTask::stage);
    private final Comparator<QueuedTask<T>> leastRemainingWork =
            Comparator.comparingDouble((QueuedTask<T> queued) -> queued.remainingWorkMillis())
                    .thenComparing(tieBreak);
    private final Comparator<QueuedTask<T>> byObjective =
            Comparator.comparingLong((QueuedTask<T> queued) -> queued.objectiveAtMillis())
                    .thenComparing(tieBreak);

    /** Of tasks with the same work, the one that has waited least is given up. */
    private final Comparator<QueuedTask<T>> mostWork =
            Comparator.comparingDouble((QueuedTask<T> queued) -> queued.workMillis())
                    .thenComparing(byObjective)
                    .reversed();

    private final PoolCapacity capacity;
    private final double startMillis;
    private final List<T> order = new ArrayList<>();
    private final List<T> displaced = new ArrayList<>();
    private final List<T> late = new ArrayList<>();
    private final List<T> shed = new ArrayList<>();
    private double aheadMillis;

    private LoadShedding(PoolCapacity capacity, long nowMillis) {
        this.capacity = capacity;
        this.startMillis = nowMillis + capacity.blockedMillis();
    }

    /** The late tasks of a rank, and the work of its other tasks. */
    private record Rank<T>(int rank, double share, double aheadMillis, List<QueuedTask<T>> late) {
        int lateOrder() {
            return RANK_STEP * rank + LATE_PENALTY;
        }
    }

    /** A task and the work that may be ahead of it. */
    private record Limited<T>(QueuedTask<T> queued, double limitMillis) {
        double endLimitMillis() {
            return limitMillis + queued.workMillis();
        }
    }

    /** A choice of tasks, in the order in which each can be served in time. */
    private record Choice<T>(List<Limited<T>> kept, List<QueuedTask<T>> givenUp) {}

    /**
     * Decides on the tasks of a queue.
     *
     * @param tasks the tasks in any order
     * @param capacity the capacity of the pool
     * @param nowMillis the current time, in milliseconds
     * @return the decision
     * @param <T> the type of a task
     */
    public static <T> SheddingDecision<T> decide(
            List<QueuedTask<T>> tasks, PoolCapacity capacity, long nowMillis) {
        return new LoadShedding<T>(capacity, nowMillis).decide(tasks);
    }

    private SheddingDecision<T> decide(List<QueuedTask<T>> tasks) {
        Map<Integer, List<QueuedTask<T>>> byRank = new TreeMap<>();
        tasks.forEach(
                queued ->
                        byRank.computeIfAbsent(queued.rank(), rank -> new ArrayList<>())
                                .add(queued));
        List<Rank<T>> pending = new ArrayList<>();
        byRank.forEach(
                (rank, ofRank) -> {
                    while (!pending.isEmpty() && pending.get(0).lateOrder() < RANK_STEP * rank) {
                        delay(pending.remove(0));
                    }
                    pending.add(keepOnTime(rank, ofRank));
                });
        pending.forEach(this::delay);
        return new SheddingDecision<>(order, displaced, late, shed);
    }

    /** Places the tasks of a rank that are not late. */
    private Rank<T> keepOnTime(int rank, List<QueuedTask<T>> tasks) {
        double share = capacity.guaranteedShare().applyAsDouble(rank);
        double beforeMillis = aheadMillis;
        List<QueuedTask<T>> lateOfRank = new ArrayList<>();
        List<QueuedTask<T>> others = new ArrayList<>();
        for (QueuedTask<T> queued : tasks) {
            (latestOnTimeStartMillis(queued) < startMillis ? lateOfRank : others).add(queued);
        }
        Choice<T> choice = choose(others, queued -> onTimeLimitMillis(queued, share, beforeMillis));
        ordered(choice.kept(), byObjective).forEach(this::place);
        placeInTime(choice.givenUp(), share, aheadMillis - beforeMillis, displaced);
        return new Rank<>(rank, share, aheadMillis - beforeMillis, lateOfRank);
    }

    private void delay(Rank<T> rank) {
        placeInTime(rank.late(), rank.share(), rank.aheadMillis(), late);
    }

    /**
     * Places tasks of a rank that are not on time, and sheds those that cannot meet their deadline.
     *
     * @param ofRankMillis the work of the rank that is ahead of them
     * @param placed receives the tasks that are not shed
     */
    private void placeInTime(
            List<QueuedTask<T>> tasks, double share, double ofRankMillis, List<T> placed) {
        double beforeMillis = aheadMillis;
        ToDoubleFunction<QueuedTask<T>> limit =
                queued -> deadlineLimitMillis(queued, share, ofRankMillis, beforeMillis);
        Choice<T> choice = choose(tasks, limit);
        for (QueuedTask<T> queued : ordered(choice.kept(), leastRemainingWork)) {
            placed.add(queued.task());
            place(queued);
        }
        List<QueuedTask<T>> others = new ArrayList<>(choice.givenUp());
        others.sort(leastRemainingWork);
        for (QueuedTask<T> queued : others) {
            if (aheadMillis - beforeMillis > limit.applyAsDouble(queued)) {
                shed.add(queued.task());
            } else {
                placed.add(queued.task());
                place(queued);
            }
        }
    }

    private void place(QueuedTask<T> queued) {
        order.add(queued.task());
        aheadMillis += queued.workMillis();
    }

    /**
     * Returns the work of the same rank that may be ahead of a task that meets its objective. At
     * the guaranteed share, its own work counts, as it is not done in parallel.
     */
    private double onTimeLimitMillis(QueuedTask<T> queued, double share, double beforeMillis) {
        double leftMillis = latestOnTimeStartMillis(queued) - startMillis;
        return Math.max(leftMillis - beforeMillis, leftMillis * share - queued.workMillis());
    }

    /** Returns the work of the tasks placed with a task that may be ahead of it. */
    private double deadlineLimitMillis(
            QueuedTask<T> queued, double share, double ofRankMillis, double beforeMillis) {
        double leftMillis = latestStartMillis(queued) - startMillis;
        double byRank = leftMillis - beforeMillis;
        double byShare = leftMillis * share - ofRankMillis;
        return leftMillis < 0 || share <= 0
                ? Math.min(leftMillis, byRank)
                : Math.max(byRank, byShare);
    }

    private double latestOnTimeStartMillis(QueuedTask<T> queued) {
        return Math.min(
                queued.objectiveAtMillis() - queued.laterMillis() - capacity.callMillis(),
                latestStartMillis(queued));
    }

    private double latestStartMillis(QueuedTask<T> queued) {
        return queued.deadlineAtMillis() - queued.leastLaterMillis() - capacity.leastCallMillis();
    }

    /** Chooses as many tasks as possible that can be served in time (Moore-Hodgson). */
    private Choice<T> choose(List<QueuedTask<T>> tasks, ToDoubleFunction<QueuedTask<T>> limit) {
        List<Limited<T>> byDueDate = new ArrayList<>();
        for (QueuedTask<T> queued : tasks) {
            byDueDate.add(new Limited<>(queued, limit.applyAsDouble(queued)));
        }
        byDueDate.sort(
                Comparator.comparingDouble((Limited<T> limited) -> limited.endLimitMillis())
                        .thenComparing(Limited::queued, tieBreak));
        PriorityQueue<QueuedTask<T>> chosen = new PriorityQueue<>(mostWork);
        Set<QueuedTask<T>> givenUp = Collections.newSetFromMap(new IdentityHashMap<>());
        double totalMillis = 0;
        for (Limited<T> limited : byDueDate) {
            chosen.add(limited.queued());
            totalMillis += limited.queued().workMillis();
            if (totalMillis > limited.endLimitMillis()) {
                QueuedTask<T> largest = chosen.remove();
                totalMillis -= largest.workMillis();
                givenUp.add(largest);
            }
        }
        byDueDate.removeIf(limited -> givenUp.contains(limited.queued()));
        return new Choice<>(byDueDate, List.copyOf(givenUp));
    }

    /** Returns tasks in an order if all are in time then, or else by due date. */
    private List<QueuedTask<T>> ordered(
            List<Limited<T>> byDueDate, Comparator<QueuedTask<T>> wanted) {
        List<Limited<T>> sorted = new ArrayList<>(byDueDate);
        sorted.sort(Comparator.comparing(Limited::queued, wanted));
        double totalMillis = 0;
        boolean inTime = true;
        for (Limited<T> limited : sorted) {
            inTime &= totalMillis <= limited.limitMillis();
            totalMillis += limited.queued().workMillis();
        }
        return (inTime ? sorted : byDueDate).stream().map(Limited::queued).toList();
    }
}
