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
 * The policies of one router: request admission, pools, retries and cost accounting.
 *
 * <p>Not thread-safe; one lock must guard it together with all its pools.
 *
 * @param <T> the type of the work queued at pools
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
     * Creates the policies with the default stage budgets and worker choice.
     *
     * @param failureDomain the failure domain of this router
     * @param routers the number of routers that share pools and limits, at least 1
     * @param settings the settings
     */
    public RouterPolicy(String failureDomain, int routers, PolicySettings settings) {
        this(failureDomain, routers, settings, new ObservedStageBudgets(), WorkerTable::choose);
    }

    /**
     * Creates the policies with the given stage budgets and worker choice.
     *
     * @param failureDomain the failure domain of this router
     * @param routers the number of routers that share pools and limits, at least 1
     * @param settings the settings
     * @param budgets the split of deadlines between stages
     * @param rule the strategy that chooses workers
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
     * Sets the number of routers that share pools and limits. During a possible network partition,
     * the caller passes the last number known before it, so that both sides together stay within
     * the limits.
     *
     * @param count the number, at least 1
     * @param newPosition the index of this router in the name order of all routers, from 0, which
     *     determines the subset of a large pool that this router sends to
     * @param nowNanos the current time
     */
    public void setRouters(int count, int newPosition, long nowNanos) {
        routers = count;
        position = newPosition;
        limits.setRouters(count, nowNanos);
        pools.values().forEach(p -> p.setRouters(count, newPosition, nowNanos));
    }

    /**
     * Sets the number of routers and keeps the position of this one.
     *
     * @param count the number, at least 1
     * @param nowNanos the current time
     */
    public void setRouters(int count, long nowNanos) {
        setRouters(count, position, nowNanos);
    }

    /**
     * Returns the policy of a pool; the first call creates it with the pool's upstreams.
     *
     * @param pool the pool
     * @param nowNanos the current time
     * @return the policy
     */
    public PoolPolicy<T> pool(Pool pool, long nowNanos) {
        return pools.computeIfAbsent(
                pool.name(),
                n -> new PoolPolicy<>(pool, this, failureDomain, settings, rule, nowNanos));
    }

    /**
     * Decides whether to admit a request, before its first stage.
     *
     * @param pipeline the pipeline
     * @param requestClass the request class
     * @param workspace the workspace
     * @param deadlineNanos the deadline for the complete response
     * @param nowNanos the current time
     * @return the refusal, or empty if the request is admitted
     */
    public Optional<Refusal> admit(
            Pipeline pipeline,
            RequestClass requestClass,
            Workspace workspace,
            long deadlineNanos,
            long nowNanos) {
        Optional<Refusal> refusal =
                settings.refusesInfeasible()
                        ? checkDeadline(pipeline, requestClass, workspace, deadlineNanos, nowNanos)
                        : Optional.empty();
        return refusal.isPresent() ? refusal : limits.tryTake(workspace, nowNanos);
    }

    /**
     * Builds the request for one stage.
     *
     * @param pipeline the pipeline
     * @param stageIndex the index of the stage, from 0
     * @param requestClass the request class
     * @param workspace the name of the workspace
     * @param deadlineNanos the deadline for the complete response
     * @return the stage request, without excluded upstreams and prefix
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
     * Decides whether to retry a stage and, if so, takes the retry from the shared budget.
     *
     * @param request the stage
     * @param outcome the outcome of the last attempt
     * @param attempts the number of attempts made
     * @param nowNanos the current time
     * @return whether the stage may be offered again, excluding the upstream that was tried
     */
    public boolean tryRetry(StageRequest request, Outcome outcome, int attempts, long nowNanos) {
        long remainingNanos = request.deadlineNanos() - nowNanos;
        long needNanos = budgets.needNanos(request.remaining());
        return retries.tryRetry(outcome, request.idempotent(), attempts, remainingNanos, needNanos);
    }

    /**
     * Returns the timeout of an attempt of a stage.
     *
     * @param request the stage
     * @param nowNanos the current time
     * @return the time budget of the stage in nanoseconds
     */
    public long attemptTimeoutNanos(StageRequest request, long nowNanos) {
        return budgets.budgetNanos(request.remaining(), request.deadlineNanos() - nowNanos);
    }

    /** Records an answered call, which adds to the retry budget. */
    public void onSuccess() {
        retryBudget.onSuccess();
    }

    /**
     * Returns the cost totals of this router.
     *
     * @return the cost totals
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

    private Optional<Refusal> checkDeadline(
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
