package org.bronzewheel.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.admission.Refusal;
import org.bronzewheel.admission.WorkspaceLimits;
import org.bronzewheel.budget.ObservedStageBudgets;
import org.bronzewheel.budget.StageBudgets;
import org.bronzewheel.budget.StageKey;
import org.bronzewheel.cost.CostTotals;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.retry.RetryBudget;
import org.bronzewheel.retry.RetryPolicy;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;

/**
 * The policies of one router: admission of requests, the pools, retries and the cost totals.
 *
 * <p>Not safe for use by several threads; one lock guards it with all its pools.
 *
 * @param <T> the type of the work that waits at pools
 */
public final class RouterPolicy<T> {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String failureDomain;
    private final PolicySettings settings;
    private final StageBudgets budgets;
    private final ChoiceRule rule;
    private final ExtraCostBudgets extraCost;
    private final WorkspaceLimits limits;
    private final RetryBudget retryBudget;
    private final RetryPolicy retries;
    private final CostTotals costTotals = new CostTotals();
    private final Map<String, PoolPolicy<T>> pools = new HashMap<>();
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private int routers;
    private int position = WorkerTable.UNKNOWN_POSITION;

    /**
     * Creates the policies with the usual rules.
     *
     * @param failureDomain the failure domain of this router
     * @param routers the number of routers that share pools and limits, at least 1
     * @param settings constants
     */
    public RouterPolicy(String failureDomain, int routers, PolicySettings settings) {
        this(failureDomain, routers, settings, new ObservedStageBudgets(), WorkerTable::choose);
    }

    /**
     * Creates the policies with other rules.
     *
     * @param failureDomain the failure domain of this router
     * @param routers the number of routers that share pools and limits, at least 1
     * @param settings constants
     * @param budgets splits deadlines between stages
     * @param rule chooses workers
     */
    public RouterPolicy(
            String failureDomain,
            int routers,
            PolicySettings settings,
            StageBudgets budgets,
            ChoiceRule rule) {
        this.failureDomain = failureDomain;
        this.routers = routers;
        this.settings = settings;
        this.budgets = budgets;
        this.rule = rule;
        this.extraCost = new ExtraCostBudgets(settings.maxSavedExtraCostNanos());
        this.limits = new WorkspaceLimits(routers);
        this.retryBudget =
                new RetryBudget(settings.retriesPerSuccess(), settings.maxSavedRetries());
        this.retries = new RetryPolicy(settings.maxAttempts(), retryBudget);
    }

    /**
     * Sets the workspaces with their weights and limits.
     *
     * @param list all workspaces
     */
    public void setWorkspaces(List<Workspace> list) {
        workspaces.clear();
        list.forEach(w -> workspaces.put(w.name(), w));
    }

    /**
     * Sets the number of routers that share pools and limits. While the fleet may be split, give
     * the last number known before, so that both sides together keep the limits.
     *
     * @param count the number, at least 1
     * @param newPosition the position of this router in the order of all by name, from 0; it
     *     decides which part of a large pool this router sends to
     * @param nowNanos the present time
     */
    public void setRouters(int count, int newPosition, long nowNanos) {
        routers = count;
        position = newPosition;
        limits.setRouters(count, nowNanos);
        pools.values().forEach(p -> p.setRouters(count, newPosition, nowNanos));
    }

    /**
     * Sets the number of routers where the position of this one is unknown.
     *
     * @param count the number, at least 1
     * @param nowNanos the present time
     */
    public void setRouters(int count, long nowNanos) {
        setRouters(count, position, nowNanos);
    }

    /**
     * Returns the policy of a pool, created at the first call with the pool's upstreams.
     *
     * @param pool the pool
     * @param nowNanos the present time
     * @return the policy
     */
    public PoolPolicy<T> pool(Pool pool, long nowNanos) {
        return pools.computeIfAbsent(
                pool.name(),
                n -> new PoolPolicy<>(pool, this, failureDomain, settings, rule, nowNanos));
    }

    /**
     * Decides on a request before its first stage.
     *
     * @param pipeline the pipeline
     * @param requestClass the request class
     * @param workspace the workspace
     * @param deadlineNanos when the whole answer is due
     * @param nowNanos the present time
     * @return the refusal, or empty where the request may start
     */
    public Optional<Refusal> admit(
            Pipeline pipeline,
            RequestClass requestClass,
            Workspace workspace,
            long deadlineNanos,
            long nowNanos) {
        Optional<Refusal> refusal =
                settings.refusesInfeasible()
                        ? checkTime(pipeline, requestClass, workspace, deadlineNanos, nowNanos)
                        : Optional.empty();
        return refusal.isPresent() ? refusal : limits.tryTake(workspace, nowNanos);
    }

    /**
     * Describes a stage of a request to its pool.
     *
     * @param pipeline the pipeline
     * @param stageIndex the position of the stage, from 0
     * @param requestClass the request class
     * @param workspace the name of the workspace
     * @param deadlineNanos when the whole answer is due
     * @return the description, without exclusions and prefix
     */
    public static StageRequest stageRequest(
            Pipeline pipeline,
            int stageIndex,
            RequestClass requestClass,
            String workspace,
            long deadlineNanos) {
        List<StageKey> remaining = new ArrayList<>();
        for (Stage stage : pipeline.stages().subList(stageIndex, pipeline.stages().size())) {
            remaining.add(new StageKey(pipeline.name(), stage.name(), requestClass.name()));
        }
        boolean idempotent = pipeline.stages().get(stageIndex).idempotent();
        return new StageRequest(
                remaining, requestClass, workspace, deadlineNanos, idempotent, Set.of(), 0);
    }

    /**
     * Decides on a retry of a stage and takes it from the shared budget.
     *
     * @param request the stage
     * @param outcome the end of the last attempt
     * @param attempts attempts made
     * @param nowNanos the present time
     * @return whether the stage may be offered again, with the tried upstream excluded
     */
    public boolean tryRetry(StageRequest request, Outcome outcome, int attempts, long nowNanos) {
        long remainingNanos = request.deadlineNanos() - nowNanos;
        long needNanos = budgets.needNanos(request.remaining());
        return retries.tryRetry(outcome, request.idempotent(), attempts, remainingNanos, needNanos);
    }

    /**
     * Returns the longest time that an attempt of a stage should take.
     *
     * @param request the stage
     * @param nowNanos the present time
     * @return the stage's budget in nanoseconds
     */
    public long attemptTimeoutNanos(StageRequest request, long nowNanos) {
        return budgets.budgetNanos(request.remaining(), request.deadlineNanos() - nowNanos);
    }

    /** Feeds the budget of retries with a call that was answered. */
    public void onSuccess() {
        retryBudget.onSuccess();
    }

    /**
     * Returns the cost totals of this router.
     *
     * @return the book
     */
    public CostTotals costTotals() {
        return costTotals;
    }

    StageBudgets budgets() {
        return budgets;
    }

    ExtraCostBudgets extraCostBudgets() {
        return extraCost;
    }

    int routers() {
        return routers;
    }

    int position() {
        return position;
    }

    int weightOf(String workspace) {
        Workspace known = workspaces.get(workspace);
        return known == null ? 1 : known.weight();
    }

    private Optional<Refusal> checkTime(
            Pipeline pipeline,
            RequestClass requestClass,
            Workspace workspace,
            long deadlineNanos,
            long nowNanos) {
        StageRequest first =
                stageRequest(pipeline, 0, requestClass, workspace.name(), deadlineNanos);
        long slackNanos = deadlineNanos - nowNanos - budgets.needNanos(first.remaining());
        if (slackNanos < 0) {
            budgets.onRefused(first.remaining());
            String detail = "the stages usually take longer than the deadline";
            return Optional.of(new Refusal(ErrorCode.DEADLINE_TOO_SHORT, detail, 0));
        }
        double waitNanos = 0;
        for (int i = 0; i < pipeline.stages().size(); i++) {
            PoolPolicy<T> pool = pools.get(pipeline.stages().get(i).pool());
            if (pool != null) {
                waitNanos +=
                        pool.expectedWaitNanos(
                                stageRequest(
                                        pipeline, i, requestClass, workspace.name(), deadlineNanos),
                                nowNanos);
            }
        }
        if (waitNanos <= slackNanos) {
            return Optional.empty();
        }
        long retryAfterMillis = (long) Math.ceil((waitNanos - slackNanos) / NANOS_PER_MILLI);
        String detail = "the queues of class " + requestClass.name() + " are too long";
        return Optional.of(new Refusal(ErrorCode.OVERLOADED, detail, retryAfterMillis));
    }
}
