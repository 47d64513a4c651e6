package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.shares.RankShares;

/**
 * The order in which an owner serves waiting tasks.
 *
 * <p>Rank decides first, and within a rank the earliest objective, so that requests that are nearly
 * done go before those that begin. A task that will miss its objective anyway falls behind the
 * on-time tasks of the next rank, for its answer is worth little more by being less late. Tasks of
 * a rank that has credit left of its share go before all others, so that no rank starves, and every
 * few calls the oldest task does, so that no late one does.
 */
final class StageOrder {
    private static final int STEP = 2;
    private static final int LATE_PENALTY = 3;
    private static final int OLDEST_FIRST_EVERY = 6;
    private static final long LONGEST_LOCAL_TURN_MILLIS = 400;
    private static final long SHORTEST_LOCAL_WAIT_MILLIS = 60;
    private static final long LONGEST_LOCAL_WAIT_MILLIS = 280;
    private static final double LEAST_SLACK_MILLIS = 100;
    private static final long LARGE_BYTES = 100_000;

    private int calls;

    /** Returns the order in which a queue is worked off. */
    static List<StageTask> byRank(List<StageTask> tasks, double callMillis, long nowMillis) {
        List<StageTask> ordered = new ArrayList<>(tasks);
        ordered.sort(
                Comparator.<StageTask>comparingInt(task -> rank(task, callMillis, nowMillis))
                        .thenComparingLong(task -> task.job().objectiveAtMillis()));
        return ordered;
    }

    /**
     * Returns the order for a call in a failure domain, which goes to tasks of that domain first.
     *
     * @param shares the shares of the ranks
     * @param batch the pieces of a full call
     */
    List<StageTask> order(
            List<StageTask> tasks,
            double callMillis,
            long nowMillis,
            String failureDomain,
            RankShares shares,
            int batch) {
        calls++;
        List<StageTask> ordered = new ArrayList<>(tasks);
        ordered.sort(
                Comparator.<StageTask>comparingInt(task -> rank(task, callMillis, nowMillis))
                        .thenComparing(task -> isForeign(task, failureDomain, nowMillis))
                        .thenComparingLong(task -> task.job().objectiveAtMillis()));
        ordered = assuredFirst(ordered, shares, batch);
        if (calls % OLDEST_FIRST_EVERY == 0) {
            moveOldestToFront(ordered);
        }
        return ordered;
    }

    private static void moveOldestToFront(List<StageTask> ordered) {
        ordered.stream()
                .min(Comparator.comparingLong(StageTask::arrivedMillis))
                .ifPresent(
                        oldest -> {
                            ordered.remove(oldest);
                            ordered.add(0, oldest);
                        });
    }

    /** Returns the tasks with those first that the credit of their rank pays for. */
    private static List<StageTask> assuredFirst(
            List<StageTask> ordered, RankShares shares, int batch) {
        Map<Integer, Double> credits = new HashMap<>();
        List<StageTask> assured = new ArrayList<>();
        List<StageTask> others = new ArrayList<>();
        for (StageTask task : ordered) {
            int pieces = task.waiting().size();
            double credit = credits.computeIfAbsent(task.job().rank(), shares::credit);
            if (credit >= Math.min(pieces, RankShares.maxCredit(batch))) {
                credits.put(task.job().rank(), credit - pieces);
                assured.add(task);
            } else {
                others.add(task);
            }
        }
        assured.addAll(others);
        return assured;
    }

    private static boolean isForeign(StageTask task, String failureDomain, long nowMillis) {
        return isLarge(task.job())
                && nowMillis - task.arrivedMillis() < LONGEST_LOCAL_TURN_MILLIS
                && !task.job().failureDomain().equals(failureDomain);
    }

    /**
     * Tells whether a task may go to another failure domain than its own: at once where little is
     * moved, else after a wait that leaves time for the objective.
     */
    static boolean mayCross(StageTask task, double callMillis, long nowMillis) {
        StageJob job = task.job();
        long waitedMillis = nowMillis - task.arrivedMillis();
        double slackMillis = job.objectiveAtMillis() - (nowMillis + callMillis + job.laterMillis());
        return !isLarge(job)
                || waitedMillis >= LONGEST_LOCAL_WAIT_MILLIS
                || (waitedMillis >= SHORTEST_LOCAL_WAIT_MILLIS && slackMillis < LEAST_SLACK_MILLIS);
    }

    private static boolean isLarge(StageJob job) {
        long inputBytes = job.inputs().stream().mapToLong(StageResult::bytes).sum();
        return inputBytes + job.pieces() * job.resultBytes() >= LARGE_BYTES;
    }

    /** Returns the rank in the queue of an on-time task. */
    static int onTimeRank(int rank) {
        return rank * STEP;
    }

    /** Returns the rank in the queue of a task that will miss its objective. */
    static int lateRank(int rank) {
        return onTimeRank(rank) + LATE_PENALTY;
    }

    /** Returns the rank of a task in the queue, which falls once its objective cannot be met. */
    static int rank(StageTask task, double callMillis, long nowMillis) {
        int rank = task.job().rank();
        return isLate(task, callMillis, nowMillis) ? lateRank(rank) : onTimeRank(rank);
    }

    /** Tells whether the objective of a task's request can no longer be met. */
    static boolean isLate(StageTask task, double callMillis, long nowMillis) {
        StageJob job = task.job();
        return nowMillis + callMillis + job.laterMillis() > job.objectiveAtMillis();
    }
}
