package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.TimeEstimate;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.shares.RankShares;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * Queues the pieces of one stage service from all routers, and sends a batch whenever an upstream
 * is idle.
 */
final class StageDispatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_FAILURES = 4;
    private static final double MIN_TOTAL_SPEED = 0.2;
    private static final long SLOW_PROBE_INTERVAL_MILLIS = 2_500;
    private static final double TIMEOUT_FACTOR = 2.5;
    private static final long TIMEOUT_FLOOR_MILLIS = 700;
    private static final double SLOW_TIMEOUT_FACTOR = 8;
    private static final long FREE_DELAY_MILLIS = 10;
    private static final long FREE_SETTLE_MILLIS = 12;
    private static final long FREE_RETRY_MILLIS = 50;
    private static final long POLL_INTERVAL_MILLIS = 50;

    /**
     * Calls of a former owner that may be queued at an upstream before the first call of a new
     * owner.
     */
    private static final int FORMER_OWNER_CALLS = 2;

    /** The time after which all submitters are assumed to know a new owner. */
    private static final long OWNER_PROPAGATION_MILLIS = 1_500;

    private final String service;
    private final Function<String, Optional<StagePool>> pools;
    private final UpstreamTable upstreams;
    private final Permits permits;
    private final StagePort port;
    private final SharedRetryBudget budget;
    private final Loop loop;
    private final Consumer<List<StageResult>> releaseInputs;
    private final StageOrder order = new StageOrder();
    private final RankShares shares = new RankShares();
    private final QueueWaitEstimator waitEstimator = new QueueWaitEstimator(shares);
    private final StageTriage triage;
    private final DrainMeter drain = new DrainMeter();
    private final InputRetention inputRetention = new InputRetention();
    private final TimeEstimate callTime = new TimeEstimate();
    private final PieceCounters counters = new PieceCounters();
    private final UpstreamGap gap = new UpstreamGap();
    private final List<StageTask> tasks = new ArrayList<>();
    private final Map<String, StageWorker> workers = new LinkedHashMap<>();
    private final Map<String, List<String>> toFree = new HashMap<>();
    private final Map<String, StagePermit> freePermits = new HashMap<>();
    private Disposable nextPoll = Disposable.disposed();
    private boolean freeScheduled;

    StageDispatcher(
            String service,
            Function<String, Optional<StagePool>> pools,
            UpstreamTable upstreams,
            Permits permits,
            StagePort port,
            SharedRetryBudget budget,
            Loop loop,
            Consumer<List<StageResult>> releaseInputs,
            BooleanSupplier shedsByCost) {
        this.service = service;
        this.pools = pools;
        this.upstreams = upstreams;
        this.permits = permits;
        this.port = port;
        this.budget = budget;
        this.loop = loop;
        this.releaseInputs = releaseInputs;
        this.triage = new StageTriage(shedsByCost, order, waitEstimator, shares);
    }

    /**
     * Queues a job, or fails it at once if it cannot be served in time.
     *
     * @param owner whether this router owns the service
     */
    void submit(StageJob job, StageListener listener, boolean owner) {
        long nowMillis = loop.nowMillis();
        budget.recordRequest(service, StageJob.OWNER_BUDGET_SHARE, nowMillis);
        shares.recordDemand(job.rank(), job.pieces(), nowMillis);
        StageTask task =
                new StageTask(
                        job, listener, nowMillis, inputsExpireAtMillis(job, nowMillis), owner);
        if (pool().filter(limits -> isInfeasible(task, limits)).isPresent()) {
            counters.count(PieceCounters.Event.LATE, job.rank(), job.pieces());
            shares.recordRefusal(job.rank(), job.pieces(), nowMillis, nowMillis);
            loop.execute(() -> task.fail(StageFailure.LATE));
            return;
        }
        tasks.add(task);
        pool().ifPresent(
                        limits -> waitEstimator.recordArrival(task, callMillis(limits), nowMillis));
        loop.execute(this::pump);
    }

    /**
     * Returns whether a new request should be refused at once: it would miss its objective, and as
     * a late job behind the expected arrivals it would also miss its deadline.
     */
    private boolean isInfeasible(StageTask task, StagePool limits) {
        StageJob job = task.job();
        if (!job.isFirst()) {
            return false;
        }
        refreshWorkers();
        // A router that has just started may not have loaded the upstreams yet.
        if (workers.isEmpty() && upstreams.isLoaded()) {
            return true;
        }
        return triage.isInfeasible(task, load(limits, blockedMillis(loop.nowMillis())));
    }

    /** Records demand that was not submitted because the requests were refused earlier. */
    void reportUnmetDemand(int rank, int pieces) {
        long nowMillis = loop.nowMillis();
        shares.recordDemand(rank, pieces, nowMillis);
        shares.recordRefusal(rank, pieces, nowMillis, nowMillis);
    }

    /** Returns the share of the capacity that is guaranteed to a rank. */
    double guaranteedShare(int rank) {
        return shares.guaranteedShare(rank, loop.nowMillis());
    }

    /**
     * Called when this router becomes the owner. Inputs are retained for the maximum time at first,
     * as upstreams may still be busy with calls of the former owner.
     */
    void becomeOwner() {
        pool().ifPresent(
                        limits ->
                                inputRetention.useMaximumUntil(
                                        loop.nowMillis()
                                                + Math.round(
                                                        FORMER_OWNER_CALLS
                                                                * StageBatch.fullCallMillis(
                                                                        limits))));
    }

    /**
     * Removes and returns the tasks that have not started, for another owner. Tasks accepted while
     * this router was not the owner stay for a while, as their submitters may know that the owner
     * does not answer.
     *
     * @param immediately whether such tasks are removed, too
     */
    List<StageTask> removeNotStarted(boolean immediately) {
        long nowMillis = loop.nowMillis();
        List<StageTask> notStarted =
                tasks.stream()
                        .filter(StageTask::isNotStarted)
                        .filter(
                                task ->
                                        immediately
                                                || task.acceptedAsOwner()
                                                || nowMillis - task.arrivedMillis()
                                                        >= OWNER_PROPAGATION_MILLIS)
                        .toList();
        tasks.removeAll(notStarted);
        notStarted.forEach(
                task -> budget.recordRequest(service, -StageJob.OWNER_BUDGET_SHARE, nowMillis));
        return notStarted;
    }

    void cancel(String requestId) {
        for (StageTask task : List.copyOf(tasks)) {
            if (task.job().requestId().equals(requestId)) {
                tasks.remove(task);
                task.discard();
                release(task.completed());
            }
        }
    }

    void release(List<StageResult> results) {
        for (StageResult result : results) {
            StageWorker worker = workers.get(result.makerId());
            if (worker != null && !worker.beginFree(result.handle())) {
                continue;
            }
            toFree.computeIfAbsent(result.makerId(), id -> new ArrayList<>()).add(result.handle());
        }
        if (!results.isEmpty()) {
            scheduleFree(FREE_DELAY_MILLIS);
        }
    }

    private void scheduleFree(long delayMillis) {
        if (!freeScheduled) {
            freeScheduled = true;
            loop.after(delayMillis, this::free);
        }
    }

    private void free() {
        freeScheduled = false;
        Map<String, List<String>> due = new HashMap<>(toFree);
        toFree.clear();
        due.forEach(this::free);
    }

    /**
     * Frees results at the upstream that stores them: with a permit if the upstream has a limit,
     * and later if it is paused.
     */
    private void free(String makerId, List<String> handles) {
        if (upstreams.known(makerId).filter(this::isClosed).isPresent()) {
            freeLater(makerId, handles);
            return;
        }
        if (!permits.isNeeded(PermitKind.SEND, makerId)) {
            freeNow(makerId, handles);
            return;
        }
        freePermits
                .computeIfAbsent(makerId, id -> new StagePermit())
                .request(permits, makerId, loop, () -> loop.execute(this::free));
        if (freePermits.get(makerId).isHeld(loop.now())) {
            freePermits.remove(makerId);
            freeNow(makerId, handles);
        } else {
            freeLater(makerId, handles);
        }
    }

    private boolean isClosed(Upstream upstream) {
        return upstream.blockedMillis(loop.nowMillis()) > 0;
    }

    /** Returns the time until the first upstream accepts calls; 0 if any accepts them now. */
    private long blockedMillis(long nowMillis) {
        return workers.values().stream()
                .mapToLong(worker -> worker.upstream().blockedMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Schedules another attempt to free the results that have not expired. */
    private void freeLater(String makerId, List<String> handles) {
        StageWorker worker = workers.get(makerId);
        if (worker == null) {
            return;
        }
        worker.usedBytes(loop.nowMillis());
        List<String> stored = handles.stream().filter(worker::stores).toList();
        if (!stored.isEmpty()) {
            toFree.computeIfAbsent(makerId, id -> new ArrayList<>()).addAll(stored);
            scheduleFree(FREE_RETRY_MILLIS);
        }
    }

    /** Frees results; their space counts as used until the upstream has had time to free it. */
    private void freeNow(String makerId, List<String> handles) {
        upstreams
                .find(makerId)
                .ifPresent(
                        upstream -> {
                            upstream.requestSent(loop.nowMillis());
                            port.free(upstream.entry(), handles);
                        });
        loop.after(
                FREE_SETTLE_MILLIS,
                () -> {
                    StageWorker worker = workers.get(makerId);
                    if (worker != null) {
                        handles.forEach(worker::endFree);
                    }
                    pump();
                });
    }

    /**
     * Logs the queue, the piece counters since the last log line and the upstreams, if there are
     * any tasks.
     *
     * @param owner whether this router still owns the service
     */
    void logState(boolean owner) {
        triage.report().log(service);
        if (tasks.isEmpty()) {
            return;
        }
        long nowMillis = loop.nowMillis();
        logger.atInfo().log(
                "stage queue: service=%s owner=%s tasks=%d late=%d waiting=%d oldestMillis=%d %s"
                        + " ranks=%s workers=%s",
                service,
                owner,
                tasks.size(),
                lateTasks(nowMillis),
                waitingPieces(),
                oldestWaitMillis(),
                counters.formatAndReset(),
                new RankReport(tasks, counters, this::expectedWaitMillis)
                        .formatAndReset(pool().map(this::callMillis).orElse(0.0), nowMillis),
                workers.values().stream().map(w -> w.describe(nowMillis)).toList());
    }

    private long lateTasks(long nowMillis) {
        double callMillis = pool().map(this::callMillis).orElse(0.0);
        return tasks.stream()
                .filter(task -> StageOrder.isLate(task, callMillis, nowMillis))
                .count();
    }

    int waitingPieces() {
        return tasks.stream().mapToInt(task -> task.waiting().size()).sum();
    }

    long oldestWaitMillis() {
        long nowMillis = loop.nowMillis();
        return tasks.stream()
                .filter(task -> !task.waiting().isEmpty())
                .mapToLong(task -> nowMillis - task.arrivedMillis())
                .max()
                .orElse(0);
    }

    /** Returns the tasks that were shed or refused for lack of capacity since the start. */
    long shedTasks() {
        return triage.report().shedTasks();
    }

    /** Returns the tasks that will miss their objective because of other tasks. */
    int displacedTasks() {
        return order.plan().displaced().size();
    }

    int openJobs() {
        return tasks.size();
    }

    /** Returns the expected queueing time of a new on-time piece of a rank. */
    long expectedWaitMillis(int rank) {
        return pool().map(limits -> Math.round(waitEstimator.onTimeWaitMillis(rank, queue(limits))))
                .map(millis -> millis + blockedMillis(loop.nowMillis()))
                .orElse(0L);
    }

    private StageTriage.Load load(StagePool limits, long blockedMillis) {
        return new StageTriage.Load(queue(limits), blockedMillis, limits.callMillis());
    }

    private QueueWaitEstimator.Queue queue(StagePool limits) {
        return new QueueWaitEstimator.Queue(
                tasks, callMillis(limits), millisPerPiece(limits), loop.nowMillis());
    }

    /**
     * Returns the service time per piece: the larger of the nominal time with full calls at all
     * upstreams and the observed time.
     */
    private double millisPerPiece(StagePool limits) {
        // If all are paused, callers add the pause to the wait, and the upstreams count as open.
        boolean allClosed = blockedMillis(loop.nowMillis()) > 0;
        double speed =
                workers.values().stream()
                        .filter(worker -> allClosed || !isClosed(worker.upstream()))
                        .mapToDouble(worker -> 1 / worker.slowness())
                        .sum();
        double full =
                StageBatch.fullCallMillis(limits)
                        / limits.batch()
                        / Math.max(MIN_TOTAL_SPEED, speed);
        return Math.max(full, drain.millisPerPiece(loop.nowMillis()));
    }

    /** Returns the expected duration of a call, in milliseconds; 0 if the service is unknown. */
    long expectedCallMillis() {
        return Math.round(pool().map(this::callMillis).orElse(0.0));
    }

    private Optional<StagePool> pool() {
        return pools.apply(service);
    }

    private double callMillis(StagePool limits) {
        return callTime.millisOr(limits.callMillis());
    }

    /**
     * Records the duration of a call. Slow upstreams are left out: they get few calls and do not
     * predict the next one.
     */
    void recordCallDuration(StageWorker worker, double elapsedMillis) {
        if (!worker.isSlow()) {
            callTime.sample(elapsedMillis);
        }
    }

    /** Fails tasks that cannot be served in time and sends batches to idle upstreams. */
    void pump() {
        Optional<StagePool> limits = pool();
        long nowMillis = loop.nowMillis();
        if (limits.isEmpty()) {
            failUnconfigured(nowMillis);
            schedulePoll();
            return;
        }
        refreshWorkers();
        if (gap.observe(workers.isEmpty() && upstreams.isLoaded(), nowMillis)) {
            failUnserved();
        }
        failLate(limits.get(), nowMillis);
        for (StageWorker worker : idle(limits.get(), nowMillis)) {
            fill(worker, limits.get(), nowMillis);
        }
        drain.observe(tasks.stream().anyMatch(task -> !task.waiting().isEmpty()), nowMillis);
        schedulePoll();
    }

    /**
     * Fails the tasks of a service without limits in time for their requests to be answered. Until
     * then they wait, because the configuration of this router may be older than that of the router
     * that submitted them.
     */
    private void failUnconfigured(long nowMillis) {
        for (StageTask task : List.copyOf(tasks)) {
            int waiting = task.waiting().size();
            long latestMillis = task.job().deadlineAtMillis() - task.job().leastLaterMillis();
            if (waiting > 0 && nowMillis > latestMillis) {
                failLate(task);
            }
        }
    }

    /** Fails the tasks with queued pieces, as the service has no upstream. */
    private void failUnserved() {
        tasks.stream()
                .filter(task -> !task.waiting().isEmpty())
                .toList()
                .forEach(task -> fail(task, StageFailure.UPSTREAM_FAILED));
    }

    /**
     * Fails the tasks that cannot meet their deadline given the tasks ahead of them and the time
     * until an upstream can be called.
     */
    private void failLate(StagePool limits, long nowMillis) {
        for (StageTask task : List.copyOf(tasks)) {
            int waiting = task.waiting().size();
            if (waiting > 0 && task.haveInputsExpired(nowMillis)) {
                counters.count(PieceCounters.Event.INPUT_GONE, waiting);
                fail(task, StageFailure.INPUT_GONE);
            }
        }
        long blockedMillis = StageWorker.firstCallableMillis(workers.values(), nowMillis);
        triage.update(load(limits, blockedMillis), this::failLate);
    }

    private void failLate(StageTask task) {
        counters.count(PieceCounters.Event.LATE, task.job().rank(), task.waiting().size());
        fail(task, StageFailure.LATE);
    }

    /** Returns when the first input of a job expires; {@link Long#MAX_VALUE} if it has none. */
    private long inputsExpireAtMillis(StageJob job, long nowMillis) {
        return job.inputs().stream()
                .map(StageResult::service)
                .distinct()
                .flatMap(makerService -> pools.apply(makerService).stream())
                .mapToLong(pool -> nowMillis + pool.resultMillis())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    void fail(StageTask task, StageFailure failure) {
        if (tasks.remove(task)) {
            shares.recordRefusal(
                    task.job().rank(), task.job().pieces(), task.arrivedMillis(), loop.nowMillis());
            release(task.completed());
            task.fail(failure);
        }
    }

    /** Stores the result of a piece; finishes the task if all pieces are complete. */
    void complete(StageBatch.Entry entry, StageResult result) {
        StageTask task = entry.task();
        if (task.isEnded()) {
            counters.count(PieceCounters.Event.UNUSED, 1);
            release(List.of(result));
            return;
        }
        counters.count(PieceCounters.Event.MADE, 1);
        task.complete(entry.piece(), result);
        if (task.isComplete()) {
            tasks.remove(task);
            task.finish();
        }
    }

    /** Releases the exclusive inputs of a task whose pieces have all read them. */
    void releaseReadInputs(StageTask task) {
        releaseInputs.accept(task.job().exclusiveInputs());
    }

    private void refreshWorkers() {
        List<Upstream> serving = upstreams.serving(service);
        workers.values().removeIf(worker -> !serving.contains(worker.upstream()));
        for (Upstream upstream : serving) {
            workers.computeIfAbsent(upstream.entry().id(), id -> new StageWorker(upstream));
        }
    }

    private List<StageWorker> idle(StagePool limits, long nowMillis) {
        return workers.values().stream()
                .filter(worker -> worker.isIdle(nowMillis, limits.slots()))
                .filter(worker -> !isTooSlow(worker, nowMillis))
                .filter(this::hasPermit)
                .sorted(
                        Comparator.comparing(
                                        (StageWorker worker) ->
                                                worker.upstream().isDeprioritized(nowMillis))
                                .thenComparingDouble(w -> w.slowness(nowMillis)))
                .toList();
    }

    /**
     * Returns whether an upstream may be called; if not, requests a permit when pieces are queued.
     */
    private boolean hasPermit(StageWorker worker) {
        String id = worker.upstream().entry().id();
        if (!permits.isNeeded(PermitKind.SEND, id) || worker.permit().isHeld(loop.now())) {
            return true;
        }
        if (waitingPieces() > 0) {
            worker.permit().request(permits, id, loop, this::pump);
        }
        return false;
    }

    /**
     * Returns whether a slow upstream is to be skipped; it gets an occasional probe call to measure
     * its speed again.
     */
    private boolean isTooSlow(StageWorker worker, long nowMillis) {
        if (!worker.isSlow() || nowMillis - worker.lastCallMillis() > SLOW_PROBE_INTERVAL_MILLIS) {
            return false;
        }
        return workers.values().stream().anyMatch(other -> other.canReplaceSlow(nowMillis));
    }

    private void fill(StageWorker worker, StagePool limits, long nowMillis) {
        StageBatch batch =
                new StageBatch(
                        limits, StageBatch.usableSpace(limits) - worker.usedBytes(nowMillis));
        boolean probe = worker.needsProbe();
        String failureDomain = worker.upstream().entry().failureDomain();
        List<StageTask> eligible =
                tasks.stream()
                        .filter(task -> !task.waiting().isEmpty())
                        .filter(task -> !worker.lacksRoomFor(task.job().resultBytes(), nowMillis))
                        .filter(task -> mayRun(worker, task, limits, nowMillis))
                        .toList();
        for (StageTask task :
                order.order(
                        eligible,
                        callMillis(limits),
                        nowMillis,
                        failureDomain,
                        shares,
                        limits.batch())) {
            batch.addFrom(task);
            if (batch.isFull() || (probe && !batch.isEmpty())) {
                break;
            }
        }
        if (!batch.isEmpty()) {
            send(worker, batch, limits, nowMillis);
        }
    }

    /** Returns whether an upstream may run a task, given the task's preferred failure domain. */
    private boolean mayRun(StageWorker worker, StageTask task, StagePool limits, long nowMillis) {
        String wanted = task.job().failureDomain();
        return StageOrder.mayLeaveFailureDomain(task, callMillis(limits), nowMillis)
                || worker.upstream().entry().failureDomain().equals(wanted)
                || workers.values().stream()
                        .noneMatch(w -> w.upstream().entry().failureDomain().equals(wanted));
    }

    private void send(StageWorker worker, StageBatch batch, StagePool limits, long nowMillis) {
        List<StageItem> items = batch.items(nowMillis);
        worker.begin(batch.bytes(), nowMillis);
        worker.permit().use();
        double factor = worker.isSlow() ? SLOW_TIMEOUT_FACTOR : TIMEOUT_FACTOR;
        long timeoutMillis = Math.round(TIMEOUT_FLOOR_MILLIS + factor * batch.expectedMillis());
        new StageCall(
                        this,
                        service,
                        worker,
                        batch,
                        limits.resultMillis(),
                        inputRetention,
                        counters,
                        loop)
                .start(port, items, timeoutMillis);
        drain.recordSent(items.size(), nowMillis);
        Map<Integer, Integer> sent = batch.piecesByRank();
        sent.forEach((rank, pieces) -> counters.count(PieceCounters.Event.TAKEN, rank, pieces));
        shares.recordServed(sent, limits.batch(), nowMillis);
        double callMillis = callMillis(limits);
        batch.entries()
                .forEach(entry -> waitEstimator.recordSent(entry.task(), callMillis, nowMillis));
    }

    private void schedulePoll() {
        nextPoll.dispose();
        if (tasks.isEmpty()) {
            return;
        }
        nextPoll = loop.after(POLL_INTERVAL_MILLIS, this::pump);
    }

    /**
     * Queues pieces again that a call did not complete; this uses one retry of the budget.
     *
     * @param failed whether the upstream failed, rather than lacked space
     */
    void requeue(StageTask task, List<Integer> pieces, boolean failed) {
        if (task.isEnded()) {
            return;
        }
        boolean exhausted = failed && !task.recordFailure(MAX_FAILURES);
        if (exhausted || !budget.tryRetry(service, loop.nowMillis())) {
            fail(task, StageFailure.UPSTREAM_FAILED);
            return;
        }
        task.waiting().addAll(pieces);
    }
}
