package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.shares.RankShares;

/**
 * Orders the queued tasks of a stage service.
 *
 * <p>Tasks are sorted by rank, then by earliest objective, so that requests near completion precede
 * new ones. A task that will miss its objective moves behind the on-time tasks of the next rank, as
 * finishing it somewhat less late has little value. Tasks of a rank with unused credit of its share
 * go first, so that no rank starves, and every few calls the oldest task goes first, so that no
 * late task starves. Within on-time and within late tasks of a rank, the tasks of a {@link
 * StagePlan} are in its order instead of that of their objectives.
 */
final class StageOrder {
    private static final int RANK_STEP = 2;
    private static final int LATE_PENALTY = 3;
    private static final int OLDEST_FIRST_EVERY = 6;
    private static final long LOCAL_PREFERENCE_MILLIS = 400;
    private static final long MIN_LOCAL_WAIT_MILLIS = 60;
    private static final long MAX_LOCAL_WAIT_MILLIS = 280;
    private static final double MIN_SLACK_MILLIS = 100;
    private static final long LARGE_TRANSFER_BYTES = 100_000;

    private int calls;
    private StagePlan plan = StagePlan.NONE;

    /** Orders by a plan from now on. */
    void follow(StagePlan newPlan) {
        plan = newPlan;
    }

    StagePlan plan() {
        return plan;
    }

    /** Returns the tasks by rank and objective. */
    static List<StageTask> byRank(List<StageTask> tasks, double callMillis, long nowMillis) {
        List<StageTask> ordered = new ArrayList<>(tasks);
        ordered.sort(
                Comparator.<StageTask>comparingInt(task -> rank(task, callMillis, nowMillis))
                        .thenComparingLong(task -> task.job().objectiveAtMillis()));
        return ordered;
    }

    /**
     * Returns the order for a call to a failure domain; within a rank, large recent tasks that
     * prefer another domain go last.
     *
     * @param shares the shares of the ranks
     * @param batch the number of pieces in a full call
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
                        .thenComparing(task -> prefersOtherDomain(task, failureDomain, nowMillis))
                        .thenComparingInt(plan::place)
                        .thenComparingLong(task -> task.job().objectiveAtMillis()));
        ordered = coveredByCreditFirst(ordered, shares, batch);
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

    /** Moves the tasks that are covered by the credit of their rank to the front. */
    private static List<StageTask> coveredByCreditFirst(
            List<StageTask> ordered, RankShares shares, int batch) {
        Map<Integer, Double> credits = new HashMap<>();
        List<StageTask> covered = new ArrayList<>();
        List<StageTask> others = new ArrayList<>();
        for (StageTask task : ordered) {
            int pieces = task.waiting().size();
            double credit = credits.computeIfAbsent(task.job().rank(), shares::credit);
            if (credit >= Math.min(pieces, RankShares.maxCredit(batch))) {
                credits.put(task.job().rank(), credit - pieces);
                covered.add(task);
            } else {
                others.add(task);
            }
        }
        covered.addAll(others);
        return covered;
    }

    private static boolean prefersOtherDomain(
            StageTask task, String failureDomain, long nowMillis) {
        return isLarge(task.job())
                && nowMillis - task.arrivedMillis() < LOCAL_PREFERENCE_MILLIS
                && !task.job().failureDomain().equals(failureDomain);
    }

    /**
     * Returns whether a task may run outside its preferred failure domain: immediately if little
     * data is transferred, otherwise after a delay, which is shorter when the objective is close.
     */
    static boolean mayLeaveFailureDomain(StageTask task, double callMillis, long nowMillis) {
        StageJob job = task.job();
        long waitedMillis = nowMillis - task.arrivedMillis();
        double slackMillis = job.objectiveAtMillis() - (nowMillis + callMillis + job.laterMillis());
        return !isLarge(job)
                || waitedMillis >= MAX_LOCAL_WAIT_MILLIS
                || (waitedMillis >= MIN_LOCAL_WAIT_MILLIS && slackMillis < MIN_SLACK_MILLIS);
    }

    private static boolean isLarge(StageJob job) {
        long inputBytes = job.inputs().stream().mapToLong(StageResult::bytes).sum();
        return inputBytes + job.pieces() * job.resultBytes() >= LARGE_TRANSFER_BYTES;
    }

    /** Returns the queue order of an on-time task. */
    static int onTimeRank(int rank) {
        return rank * RANK_STEP;
    }

    /** Returns the queue order of a task that will miss its objective. */
    static int lateRank(int rank) {
        return onTimeRank(rank) + LATE_PENALTY;
    }

    /** Returns the queue order of a task, which is worse once its objective cannot be met. */
    static int rank(StageTask task, double callMillis, long nowMillis) {
        int rank = task.job().rank();
        return isLate(task, callMillis, nowMillis) ? lateRank(rank) : onTimeRank(rank);
    }

    /** Returns whether the objective of a task's request can no longer be met. */
    static boolean isLate(StageTask task, double callMillis, long nowMillis) {
        StageJob job = task.job();
        return nowMillis + callMillis + job.laterMillis() > job.objectiveAtMillis();
    }
}
