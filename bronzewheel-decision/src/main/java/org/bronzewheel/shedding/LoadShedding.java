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
 * one with most work is given up. Tasks that are given up are delayed until after the on-time tasks
 * of the next rank. Of the delayed tasks of a rank, as many as possible meet their deadline, those
 * with the least remaining work first. A task that cannot meet its deadline behind them is shed.
 *
 * <p>A task waits for the work that is ahead of it, or for that of its own rank at the rank's
 * guaranteed share, whichever is shorter. Tasks that arrive later do not count. The time of a
 * decision is O(n log n), plus one query of the guaranteed share for each rank.
 *
 * @param <T> the type of a task
 */
public final class LoadShedding<T> {
    /** The queue order: delayed tasks of a rank are behind the on-time tasks of the next one. */
    private static final int RANK_STEP = 2;

    private static final int DELAYED_PENALTY = 3;

    private final Comparator<QueuedTask<T>> tieBreak =
            Comparator.comparingDouble((QueuedTask<T> queued) -> queued.workMillis())
                    .thenComparingDouble(QueuedTask::laterMillis)
                    .thenComparing(QueuedTask::requestId)
                    .thenComparingInt(QueuedTask::stage);
    private final Comparator<QueuedTask<T>> leastRemainingWork =
            Comparator.comparingDouble((QueuedTask<T> queued) -> queued.remainingWorkMillis())
                    .thenComparing(tieBreak);
    private final Comparator<QueuedTask<T>> mostWork = tieBreak.reversed();

    private final PoolCapacity capacity;
    private final double startMillis;
    private final List<T> order = new ArrayList<>();
    private final List<T> delayed = new ArrayList<>();
    private final List<T> shed = new ArrayList<>();
    private double aheadMillis;

    private LoadShedding(PoolCapacity capacity, long nowMillis) {
        this.capacity = capacity;
        this.startMillis = nowMillis + capacity.blockedMillis();
    }

    /** The tasks of a rank that are given up, and the work of its on-time tasks. */
    private record Rank<T>(
            double share, double onTimeMillis, int delayedOrder, List<QueuedTask<T>> late) {}

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
                    while (!pending.isEmpty() && pending.get(0).delayedOrder() < RANK_STEP * rank) {
                        delay(pending.remove(0));
                    }
                    pending.add(keepOnTime(rank, ofRank));
                });
        pending.forEach(this::delay);
        return new SheddingDecision<>(order, delayed, shed);
    }

    private Rank<T> keepOnTime(int rank, List<QueuedTask<T>> tasks) {
        double share = capacity.guaranteedShare().applyAsDouble(rank);
        double beforeMillis = aheadMillis;
        Choice<T> choice = choose(tasks, queued -> onTimeLimitMillis(queued, share, beforeMillis));
        choice.kept().forEach(kept -> place(kept.queued()));
        return new Rank<>(
                share,
                aheadMillis - beforeMillis,
                RANK_STEP * rank + DELAYED_PENALTY,
                choice.givenUp());
    }

    /** Places the late tasks of a rank, and sheds those that cannot meet their deadline. */
    private void delay(Rank<T> rank) {
        double beforeMillis = aheadMillis;
        ToDoubleFunction<QueuedTask<T>> limit =
                queued -> deadlineLimitMillis(queued, rank, beforeMillis);
        Choice<T> choice = choose(rank.late(), limit);
        for (QueuedTask<T> queued : leastWorkFirst(choice.kept())) {
            delayed.add(queued.task());
            place(queued);
        }
        List<QueuedTask<T>> others = new ArrayList<>(choice.givenUp());
        others.sort(leastRemainingWork);
        for (QueuedTask<T> queued : others) {
            if (aheadMillis - beforeMillis > limit.applyAsDouble(queued)) {
                shed.add(queued.task());
            } else {
                delayed.add(queued.task());
                place(queued);
            }
        }
    }

    private void place(QueuedTask<T> queued) {
        order.add(queued.task());
        aheadMillis += queued.workMillis();
    }

    /**
     * Returns the work of the same rank that may be ahead of a task that meets its objective and
     * its deadline. At the guaranteed share, its own work counts, as it is not done in parallel.
     */
    private double onTimeLimitMillis(QueuedTask<T> queued, double share, double beforeMillis) {
        double latestStartMillis =
                Math.min(
                        queued.objectiveAtMillis() - queued.laterMillis() - capacity.callMillis(),
                        latestStartMillis(queued));
        double leftMillis = latestStartMillis - startMillis;
        double byRank = leftMillis - beforeMillis;
        double byShare = leftMillis * share - queued.workMillis();
        return leftMillis < 0 ? leftMillis : Math.max(byRank, byShare);
    }

    /** Returns the delayed work of the same rank that may be ahead of a task. */
    private double deadlineLimitMillis(QueuedTask<T> queued, Rank<T> rank, double beforeMillis) {
        double leftMillis = latestStartMillis(queued) - startMillis;
        double byRank = leftMillis - beforeMillis;
        double byShare = leftMillis * rank.share() - rank.onTimeMillis();
        return leftMillis < 0 || rank.share() <= 0
                ? Math.min(leftMillis, byRank)
                : Math.max(byRank, byShare);
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

    /** Returns tasks by their remaining work if all are in time then, or else by due date. */
    private List<QueuedTask<T>> leastWorkFirst(List<Limited<T>> byDueDate) {
        List<Limited<T>> byWork = new ArrayList<>(byDueDate);
        byWork.sort(Comparator.comparing(Limited::queued, leastRemainingWork));
        double totalMillis = 0;
        boolean inTime = true;
        for (Limited<T> limited : byWork) {
            inTime &= totalMillis <= limited.limitMillis();
            totalMillis += limited.queued().workMillis();
        }
        return (inTime ? byWork : byDueDate).stream().map(Limited::queued).toList();
    }
}
