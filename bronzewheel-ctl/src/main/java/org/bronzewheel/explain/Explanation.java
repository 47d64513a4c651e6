package org.bronzewheel.explain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.admission.Refusal;
import org.bronzewheel.budget.ObservedStageBudgets;
import org.bronzewheel.budget.StageKey;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.policy.PoolPolicy;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.policy.StageRequest;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;

/**
 * An explanation of admission, budgets and the order of workers of one request, made by the same
 * policies that a router runs.
 */
public final class Explanation {
    private static final long NOW_NANOS = 0;
    private static final int OBSERVATIONS = 100;

    private final Configuration configuration;
    private final Situation situation;
    private final PolicySettings settings = PolicySettings.defaults();
    private final ObservedStageBudgets budgets = new ObservedStageBudgets();
    private final RouterPolicy<String> policy;
    private final SplittableRandom random;
    private final List<String> lines = new ArrayList<>();

    /**
     * Creates an explanation.
     *
     * @param configuration inventory and rules
     * @param situation what the router is assumed to know
     */
    public Explanation(Configuration configuration, Situation situation) {
        this.configuration = configuration;
        this.situation = situation;
        this.random = new SplittableRandom(situation.seed());
        this.policy =
                new RouterPolicy<>(
                        situation.failureDomain(),
                        situation.routers(),
                        settings,
                        budgets,
                        WorkerTable::choose);
        policy.setWorkspaces(configuration.inventory().workspaces());
    }

    /**
     * Explains a request.
     *
     * @param pipeline its pipeline
     * @param requestClass its request class
     * @param workspace its workspace
     * @return lines of text
     */
    public List<String> of(Pipeline pipeline, RequestClass requestClass, Workspace workspace) {
        observe(pipeline, requestClass);
        describe(requestClass, workspace);
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMillis());
        explainAdmission(pipeline, requestClass, workspace, deadlineNanos);
        long startNanos = NOW_NANOS;
        for (int i = 0; i < pipeline.stages().size(); i++) {
            StageRequest request =
                    RouterPolicy.stageRequest(
                            pipeline, i, requestClass, workspace.name(), deadlineNanos);
            explainStage(i, pipeline.stages().get(i), request, startNanos);
            startNanos += TimeUnit.MILLISECONDS.toNanos(usualMillis(pipeline.stages().get(i)));
        }
        return List.copyOf(lines);
    }

    private long usualMillis(Stage stage) {
        return situation.stageMillis().getOrDefault(stage.name(), 0L);
    }

    private void observe(Pipeline pipeline, RequestClass requestClass) {
        for (Stage stage : pipeline.stages()) {
            if (situation.stageMillis().containsKey(stage.name())) {
                StageKey key = new StageKey(pipeline.name(), stage.name(), requestClass.name());
                long nanos = TimeUnit.MILLISECONDS.toNanos(usualMillis(stage));
                for (int i = 0; i < OBSERVATIONS; i++) {
                    budgets.record(key, nanos);
                }
            }
        }
    }

    private void describe(RequestClass requestClass, Workspace workspace) {
        lines.add(
                "class %s: priority %d, deadline %d ms, floor %d%%, extra cost up to %d%%"
                        .formatted(
                                requestClass.name(),
                                requestClass.priority(),
                                requestClass.deadlineMillis(),
                                requestClass.floorPercent(),
                                requestClass.extraCostPercent()));
        String limit =
                workspace.requestsPerSecondLimit() == 0
                        ? "no limit"
                        : "%d requests/s over %d routers"
                                .formatted(workspace.requestsPerSecondLimit(), situation.routers());
        lines.add(
                "workspace %s: weight %d, %s"
                        .formatted(workspace.name(), workspace.weight(), limit));
    }

    private void explainAdmission(
            Pipeline pipeline, RequestClass requestClass, Workspace workspace, long deadlineNanos) {
        Optional<Refusal> refusal =
                policy.admit(pipeline, requestClass, workspace, deadlineNanos, NOW_NANOS);
        lines.add(
                refusal.map(r -> "admission: refused with " + r.code() + ", " + r.detail())
                        .orElse("admission: admitted"));
    }

    private void explainStage(int index, Stage stage, StageRequest request, long startNanos) {
        Pool pool = configuration.inventory().pool(stage.pool()).orElseThrow();
        lines.add(
                "stage %d %s: pool %s (%s, %d upstreams), %s"
                        .formatted(
                                index + 1,
                                stage.name(),
                                pool.name(),
                                pool.kind(),
                                pool.upstreams().size(),
                                stage.idempotent() ? "idempotent" : "non-idempotent"));
        explainBudget(request, startNanos);
        PoolPolicy<String> pools = policy.pool(pool, NOW_NANOS);
        tellLoads(pool, pools.workers());
        explainOrder(pool, pools.workers());
        explainRepetition(stage, pool, pools.hedgeDelayNanos(request));
    }

    private void explainBudget(StageRequest request, long startNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - startNanos);
        long budgetMillis =
                TimeUnit.NANOSECONDS.toMillis(policy.attemptTimeoutNanos(request, startNanos));
        String reason =
                budgetMillis == remainingMillis
                        ? "all of it, as it is the last stage or one that is left is not observed"
                        : "its part by the observed times of the stages that are left";
        lines.add(
                "  budget: %d ms of %d ms that remain; %s"
                        .formatted(budgetMillis, remainingMillis, reason));
    }

    private void tellLoads(Pool pool, WorkerTable workers) {
        for (Upstream upstream : pool.upstreams()) {
            workers.setLeaving(upstream.name(), situation.leaving().contains(upstream.name()));
            Integer load = situation.loads().get(upstream.name());
            if (load != null) {
                workers.onLoadReport(new LoadReport(upstream.name(), load, 0, 1, NOW_NANOS));
            }
        }
    }

    private void explainOrder(Pool pool, WorkerTable workers) {
        Set<String> excluded = new HashSet<>();
        Optional<Upstream> next = choose(workers, excluded);
        for (int position = 1; next.isPresent(); position++) {
            Upstream upstream = next.get();
            excluded.add(upstream.name());
            boolean near = upstream.failureDomain().equals(situation.failureDomain());
            lines.add(
                    "  worker %d: %s (load %.1f of %d, %s%s)"
                            .formatted(
                                    position,
                                    upstream.name(),
                                    workers.estimatedLoad(upstream.name(), NOW_NANOS),
                                    pool.concurrencyPerUpstream(),
                                    upstream.failureDomain(),
                                    near ? ", own failure domain" : ""));
            next = choose(workers, excluded);
        }
        for (Upstream upstream : pool.upstreams()) {
            if (!excluded.contains(upstream.name())) {
                boolean leaving = situation.leaving().contains(upstream.name());
                lines.add(
                        "  left out: %s (%s)"
                                .formatted(
                                        upstream.name(),
                                        leaving
                                                ? "leaving"
                                                : "no room, or not among those that this router"
                                                        + " uses"));
            }
        }
    }

    private Optional<Upstream> choose(WorkerTable workers, Set<String> excluded) {
        ChoiceContext context =
                new ChoiceContext(
                        Set.copyOf(excluded),
                        situation.failureDomain(),
                        0,
                        ChoiceContext.NO_PROBE,
                        settings.headroom());
        return workers.choose(context, NOW_NANOS, random);
    }

    private void explainRepetition(Stage stage, Pool pool, OptionalLong hedgeDelayNanos) {
        if (!stage.idempotent()) {
            lines.add(
                    pool.checksKeys()
                            ? "  repeated: after NOT_RUN; with a key after UNKNOWN as well, as the"
                                    + " pool checks keys"
                            : "  repeated: after NOT_RUN only");
            return;
        }
        String hedge =
                hedgeDelayNanos.isPresent()
                        ? "hedged after "
                                + TimeUnit.NANOSECONDS.toMillis(hedgeDelayNanos.getAsLong())
                                + " ms while the class has extra cost left"
                        : "not hedged before enough calls were observed";
        lines.add(
                "  repeated: up to %d attempts within the retry budget; %s"
                        .formatted(settings.maxAttempts(), hedge));
    }
}
