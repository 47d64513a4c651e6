package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bronzewheel.shares.RankShares;
import org.bronzewheel.shedding.LoadShedding;
import org.bronzewheel.shedding.PoolCapacity;
import org.bronzewheel.shedding.QueuedTask;
import org.bronzewheel.shedding.SheddingDecision;

/**
 * Decides which queued tasks of a stage service are delayed and which cannot meet their deadline.
 * Where workspaces have different priorities, {@link LoadShedding} decides; elsewhere tasks keep
 * the order of {@link StageOrder}.
 */
final class StageTriage {
    private final BooleanSupplier shedsByCost;
    private final StageOrder order;
    private final QueueWaitEstimator waits;
    private final RankShares shares;
    private final SheddingReport report = new SheddingReport();

    /**
     * A queue and the capacity of its upstreams.
     *
     * @param queue the queue
     * @param blockedMillis the time until the first upstream accepts calls, in milliseconds
     * @param leastCallMillis the least duration of a call, in milliseconds
     */
    record Load(QueueWaitEstimator.Queue queue, long blockedMillis, double leastCallMillis) {
        double workMillis(StageTask task) {
            return task.waiting().size() * queue.pieceMillis();
        }
    }

    /**
     * Creates a triage.
     *
     * @param shedsByCost whether the configuration gives workspaces different priorities
     */
    StageTriage(
            BooleanSupplier shedsByCost,
            StageOrder order,
            QueueWaitEstimator waits,
            RankShares shares) {
        this.shedsByCost = shedsByCost;
        this.order = order;
        this.waits = waits;
        this.shares = shares;
    }

    SheddingReport report() {
        return report;
    }

    /** Returns whether tasks are delayed and shed by their cost to callers. */
    boolean shedsByCost() {
        return shedsByCost.getAsBoolean();
    }

    /** Updates the order of the queue and fails the tasks that cannot meet their deadline. */
    void update(Load load, Consumer<StageTask> fail) {
        if (!shedsByCost()) {
            order.follow(StagePlan.NONE);
            failHopeless(load, fail);
            return;
        }
        SheddingDecision<StageTask> decision = decide(load.queue().tasks(), load);
        StagePlan plan = StagePlan.of(decision);
        report.record(order.plan(), decision, load);
        order.follow(plan);
        decision.shed().forEach(fail);
    }

    /**
     * Returns whether a new request should be refused at once: it would miss its objective, and as
     * a delayed task behind the expected arrivals it would also miss its deadline.
     */
    boolean isInfeasible(StageTask task, Load load) {
        QueueWaitEstimator.Queue queue = load.queue();
        StageJob job = task.job();
        double callEndMillis = queue.nowMillis() + load.blockedMillis() + load.leastCallMillis();
        double lateMillis =
                callEndMillis + waits.lateWaitMillis(job.rank(), queue) + job.leastLaterMillis();
        double onTimeMillis =
                callEndMillis + waits.onTimeWaitMillis(job.rank(), queue) + job.laterMillis();
        boolean infeasible =
                onTimeMillis > job.objectiveAtMillis() && lateMillis > job.deadlineAtMillis();
        if (!shedsByCost()) {
            return infeasible;
        }
        // The estimates also know the recent service rate, which may be higher than the decision
        // assumes; refusing by the decision alone refused requests that would be on time.
        SheddingDecision<StageTask> decision = decideWith(task, load);
        boolean refused =
                decision.shed().contains(task) || (infeasible && decision.isDelayed(task));
        if (refused) {
            report.recordRefused(task);
        }
        return refused;
    }

    private SheddingDecision<StageTask> decideWith(StageTask candidate, Load load) {
        List<StageTask> tasks = new ArrayList<>(load.queue().tasks());
        tasks.add(candidate);
        return decide(tasks, load);
    }

    private SheddingDecision<StageTask> decide(List<StageTask> tasks, Load load) {
        QueueWaitEstimator.Queue queue = load.queue();
        List<QueuedTask<StageTask>> queued = new ArrayList<>();
        for (StageTask task : tasks) {
            if (!task.waiting().isEmpty()) {
                queued.add(queued(task, load));
            }
        }
        return LoadShedding.decide(
                queued,
                new PoolCapacity(
                        load.blockedMillis(),
                        queue.callMillis(),
                        load.leastCallMillis(),
                        rank -> shares.guaranteedShare(rank, queue.nowMillis())),
                queue.nowMillis());
    }

    private static QueuedTask<StageTask> queued(StageTask task, Load load) {
        StageJob job = task.job();
        return new QueuedTask<>(
                task,
                job.requestId(),
                job.stage(),
                job.rank(),
                job.objectiveAtMillis(),
                job.deadlineAtMillis(),
                load.workMillis(task),
                job.laterMillis(),
                job.leastLaterMillis());
    }

    private void failHopeless(Load load, Consumer<StageTask> fail) {
        QueueWaitEstimator.Queue queue = load.queue();
        int ahead = 0;
        Map<Integer, Integer> aheadOfRank = new HashMap<>();
        for (StageTask task :
                StageOrder.byRank(queue.tasks(), queue.callMillis(), queue.nowMillis())) {
            StageJob job = task.job();
            int waiting = task.waiting().size();
            int sameRankAhead = aheadOfRank.getOrDefault(job.rank(), 0);
            double doneMillis =
                    queue.nowMillis()
                            + load.blockedMillis()
                            + waits.minWaitMillis(
                                    job.rank(),
                                    ahead,
                                    sameRankAhead,
                                    queue.pieceMillis(),
                                    queue.nowMillis())
                            + load.leastCallMillis();
            if (waiting > 0
                    && doneMillis > job.deadlineAtMillis() - (double) job.leastLaterMillis()) {
                fail.accept(task);
            } else {
                ahead += waiting;
                aheadOfRank.put(job.rank(), sameRankAhead + waiting);
            }
        }
    }
}
