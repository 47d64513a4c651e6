package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.admission.Dropped;
import org.bronzewheel.admission.Refusal;
import org.bronzewheel.cost.CostEntry;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.policy.Dispatch;
import org.bronzewheel.policy.PollResult;
import org.bronzewheel.policy.PoolPolicy;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.policy.StageRequest;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.rules.Stage;

/**
 * The policies of this router, under one lock, with the timers that they ask for. No call leaves
 * with the lock held.
 */
final class PolicyWorkers implements WorkerSource, RetryRule, EntryCheck, CostSink {
    private static final long NO_UPSTREAM_RETRY_MILLIS = 500;
    private static final long UNUSED_PLACE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Object lock = new Object();
    private final RouterPolicy<Waiting> policy;
    private final ServingUpstreams serving = new ServingUpstreams();
    private final Set<String> polling = new HashSet<>();
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final RandomGenerator random;

    PolicyWorkers(
            RouterPolicy<Waiting> policy,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.policy = policy;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
        this.random = random;
    }

    /**
     * A stage that waits for its worker.
     *
     * @param pool the pool
     * @param emitter takes the place
     */
    record Waiting(Pool pool, SingleEmitter<Placement> emitter) {}

    /** Takes over the workspaces, the pools and what is known of their upstreams. */
    void update(
            List<Workspace> workspaces,
            List<Pool> pools,
            Set<String> leaving,
            int routers,
            int position) {
        for (Pool pool : pools) {
            PollResult<Waiting> poll;
            synchronized (lock) {
                long now = nanoClock.getAsLong();
                policy.setWorkspaces(workspaces);
                policy.setRouters(Math.max(1, routers), position, now);
                policy.pool(pool, now).setLimits(pool, now);
                serving.update(pool, policy.pool(pool, now).workers(), leaving, now);
                poll = policy.pool(pool, now).poll(now, random);
            }
            deliver(pool, poll);
        }
    }

    void onLoadReport(Pool pool, LoadReport report) {
        synchronized (lock) {
            policyOf(pool).workers().onLoadReport(report);
        }
    }

    void onPrefix(Pool pool, String upstream, long prefixHash, boolean stored) {
        synchronized (lock) {
            if (stored) {
                policyOf(pool).workers().onPrefixStored(upstream, prefixHash);
            } else {
                policyOf(pool).workers().onPrefixEvicted(upstream, prefixHash);
            }
        }
    }

    List<CostEntry> costs() {
        synchronized (lock) {
            return policy.costTotals().entries();
        }
    }

    /** Returns the estimated load of an upstream: calls in flight of all routers. */
    double estimatedLoad(Pool pool, Upstream upstream) {
        synchronized (lock) {
            long now = nanoClock.getAsLong();
            return policy.pool(pool, now).workers().estimatedLoad(upstream.name(), now);
        }
    }

    @Override
    public void check(RunContext run) {
        Workspace workspace =
                run.configuration().inventory().workspace(run.request().workspace()).orElseThrow();
        Optional<Refusal> refusal;
        synchronized (lock) {
            refusal =
                    policy.admit(
                            run.pipeline(),
                            run.requestClass(),
                            workspace,
                            run.deadline().atNanos(),
                            nanoClock.getAsLong());
        }
        refusal.ifPresent(
                r -> {
                    throw exception(r);
                });
    }

    @Override
    public Single<Placement> place(RunContext run, int stageIndex, Set<String> excluded) {
        Pool pool = run.pool(stageIndex);
        return Single.create(
                emitter -> offer(pool, emitter, stageRequest(run, stageIndex), excluded));
    }

    private void offer(
            Pool pool,
            SingleEmitter<Placement> emitter,
            StageRequest request,
            Set<String> excluded) {
        Optional<RefusalException> refusal = Optional.empty();
        PollResult<Waiting> poll = new PollResult<>(List.of(), List.of());
        synchronized (lock) {
            long now = nanoClock.getAsLong();
            PoolPolicy<Waiting> poolPolicy = policy.pool(pool, now);
            if (serving.isEmpty(pool)) {
                refusal = Optional.of(noUpstream(pool));
            } else {
                StageRequest offered = request.withExcluded(serving.exclusions(pool, excluded));
                refusal =
                        poolPolicy
                                .offer(new Waiting(pool, emitter), offered, now)
                                .map(PolicyWorkers::exception);
                poll = poolPolicy.poll(now, random);
            }
        }
        refusal.ifPresent(emitter::tryOnError);
        deliver(pool, poll);
    }

    /** Hands decisions over and keeps polling while work waits. */
    private void deliver(Pool pool, PollResult<Waiting> poll) {
        for (Dropped<Waiting> dropped : poll.dropped()) {
            dropped.item().emitter().tryOnError(exception(dropped.refusal()));
        }
        for (Dispatch<Waiting> dispatch : poll.dispatches()) {
            PolicyPlacement placement =
                    new PolicyPlacement(
                            dispatch.item().pool(), dispatch.request(), dispatch.call());
            placement.watchForDelay();
            placement.endAfterDeadline();
            SingleEmitter<Placement> emitter = dispatch.item().emitter();
            if (emitter.isDisposed()) {
                placement.cancel();
            } else {
                emitter.onSuccess(placement);
            }
        }
        schedulePoll(pool);
    }

    private void schedulePoll(Pool pool) {
        synchronized (lock) {
            if (!policyOf(pool).hasWaiting() || !polling.add(pool.name())) {
                return;
            }
        }
        scheduler.scheduleDirect(
                () -> poll(pool), PoolPolicy.POLL_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void poll(Pool pool) {
        PollResult<Waiting> poll;
        synchronized (lock) {
            polling.remove(pool.name());
            poll = policyOf(pool).poll(nanoClock.getAsLong(), random);
        }
        deliver(pool, poll);
    }

    @Override
    public long attemptTimeoutNanos(RunContext run, int stageIndex) {
        synchronized (lock) {
            return policy.attemptTimeoutNanos(stageRequest(run, stageIndex), nanoClock.getAsLong());
        }
    }

    @Override
    public OptionalLong hedgeDelayNanos(RunContext run, int stageIndex) {
        synchronized (lock) {
            return policyOf(run.pool(stageIndex)).hedgeDelayNanos(stageRequest(run, stageIndex));
        }
    }

    @Override
    public Optional<Placement> hedge(
            RunContext run, int stageIndex, Placement first, Set<String> excluded) {
        if (!(first instanceof PolicyPlacement placed)) {
            return Optional.empty();
        }
        StageRequest request = stageRequest(run, stageIndex).withExcluded(excluded);
        Optional<OpenCall> call;
        synchronized (lock) {
            call = policyOf(placed.pool).hedge(request, placed.call, nanoClock.getAsLong(), random);
        }
        return call.map(c -> new PolicyPlacement(placed.pool, request, c));
    }

    @Override
    public boolean tryRetry(
            Outcome outcome, boolean repeatable, int attempts, RunContext run, int stageIndex) {
        StageRequest asked = stageRequest(run, stageIndex);
        StageRequest request =
                new StageRequest(
                        asked.remaining(),
                        asked.requestClass(),
                        asked.workspace(),
                        asked.deadlineNanos(),
                        repeatable,
                        asked.excluded(),
                        asked.prefixHash());
        synchronized (lock) {
            return policy.tryRetry(request, outcome, attempts, nanoClock.getAsLong());
        }
    }

    @Override
    public void onSuccess() {
        synchronized (lock) {
            policy.onSuccess();
        }
    }

    @Override
    public void book(String pipeline, String stage, String workspace, CostKind kind, Usage usage) {
        synchronized (lock) {
            policy.costTotals().add(pipeline, stage, workspace, kind, usage);
        }
    }

    private PoolPolicy<Waiting> policyOf(Pool pool) {
        return policy.pool(pool, nanoClock.getAsLong());
    }

    private static StageRequest stageRequest(RunContext run, int stageIndex) {
        StageRequest request =
                RouterPolicy.stageRequest(
                        run.pipeline(),
                        stageIndex,
                        run.requestClass(),
                        run.request().workspace(),
                        run.deadline().atNanos());
        Stage stage = run.stage(stageIndex);
        boolean generates = run.pool(stageIndex).kind() == PoolKind.MODEL_ENGINE;
        long prefixHash = generates && stageIndex == 0 ? PrefixHash.of(run.request().input()) : 0;
        return new StageRequest(
                request.remaining(),
                request.requestClass(),
                request.workspace(),
                request.deadlineNanos(),
                stage.idempotent(),
                request.excluded(),
                prefixHash);
    }

    private static RefusalException exception(Refusal refusal) {
        return new RefusalException(refusal.code(), refusal.detail(), refusal.retryAfterMillis());
    }

    private static RefusalException noUpstream(Pool pool) {
        return new RefusalException(
                ErrorCode.NO_UPSTREAM,
                "no upstream of pool " + pool.name() + " may get new work",
                NO_UPSTREAM_RETRY_MILLIS);
    }

    /** The place of one attempt that the policy counts. */
    private final class PolicyPlacement implements Placement {
        private final Pool pool;
        private final StageRequest request;
        private final OpenCall call;
        private boolean ended;
        private Disposable overdue = Disposable.disposed();
        private Disposable unused = Disposable.disposed();

        PolicyPlacement(Pool pool, StageRequest request, OpenCall call) {
            this.pool = pool;
            this.request = request;
            this.call = call;
        }

        @Override
        public Upstream upstream() {
            return call.upstream();
        }

        @Override
        public void end(Outcome outcome) {
            finish(now -> policyOf(pool).onEnd(request, call, outcome, now));
        }

        @Override
        public void cancel() {
            finish(now -> policyOf(pool).onCancelled(request, call, now));
        }

        private void finish(java.util.function.LongConsumer booking) {
            PollResult<Waiting> poll;
            synchronized (lock) {
                if (ended) {
                    return;
                }
                ended = true;
                overdue.dispose();
                unused.dispose();
                long now = nanoClock.getAsLong();
                booking.accept(now);
                poll = policyOf(pool).poll(now, random);
            }
            deliver(pool, poll);
        }

        /** Tells the policy of the call once it is overdue, before it ends. */
        private void watchForDelay() {
            synchronized (lock) {
                OptionalLong delayNanos = policyOf(pool).overdueDelayNanos(request);
                if (delayNanos.isPresent() && !ended) {
                    overdue =
                            scheduler.scheduleDirect(
                                    this::markOverdue,
                                    delayNanos.getAsLong(),
                                    TimeUnit.NANOSECONDS);
                }
            }
        }

        /** Gives the place back where its request ended before the attempt began. */
        private void endAfterDeadline() {
            long delayNanos = request.deadlineNanos() - nanoClock.getAsLong() + UNUSED_PLACE_NANOS;
            synchronized (lock) {
                if (!ended) {
                    unused =
                            scheduler.scheduleDirect(
                                    this::cancel, delayNanos, TimeUnit.NANOSECONDS);
                }
            }
        }

        private void markOverdue() {
            synchronized (lock) {
                if (!ended) {
                    policyOf(pool).onOverdue(call, nanoClock.getAsLong());
                }
            }
        }
    }
}
