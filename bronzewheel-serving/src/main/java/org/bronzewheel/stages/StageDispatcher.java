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
import java.util.function.Consumer;
import java.util.function.Function;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.shares.RankShares;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * The owner of the upstreams of one stage service: one queue for the pieces of all routers, from
 * which it fills a call whenever an upstream is idle.
 */
final class StageDispatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MOST_FAILURES = 4;
    private static final double MIN_SPEED = 0.2;
    private static final double USABLE_ROOM_SHARE = 0.95;
    private static final double SLOW = 1.8;
    private static final long SLOW_PROBE_MILLIS = 2_500;
    private static final double TIMEOUT_FACTOR = 2.5;
    private static final long TIMEOUT_FLOOR_MILLIS = 700;
    private static final double TIMEOUT_FACTOR_WHEN_SLOW = 8;
    private static final long FREE_DELAY_MILLIS = 10;
    private static final long FREE_SETTLE_MILLIS = 12;
    private static final long FREE_RETRY_MILLIS = 50;
    private static final long WAKE_UP_MILLIS = 50;

    /** Calls of a former owner that may be ahead of the first one of a new owner. */
    private static final int CALLS_AHEAD = 2;

    /** The time after which all submitters know the owner of a service. */
    private static final long SETTLED_MILLIS = 1_500;

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
    private final DrainMeter drain = new DrainMeter();
    private final InputRetention inputRetention = new InputRetention();
    private final TimeEstimate callTime = new TimeEstimate();
    private final PieceCounters counters = new PieceCounters();
    private final List<StageTask> tasks = new ArrayList<>();
    private final Map<String, StageWorker> workers = new LinkedHashMap<>();
    private final Map<String, List<String>> toFree = new HashMap<>();
    private final Map<String, StagePermit> freePermits = new HashMap<>();
    private Disposable wakeUp = Disposable.disposed();
    private boolean freeScheduled;

    StageDispatcher(
            String service,
            Function<String, Optional<StagePool>> pools,
            UpstreamTable upstreams,
            Permits permits,
            StagePort port,
            SharedRetryBudget budget,
            Loop loop,
            Consumer<List<StageResult>> releaseInputs) {
        this.service = service;
        this.pools = pools;
        this.upstreams = upstreams;
        this.permits = permits;
        this.port = port;
        this.budget = budget;
        this.loop = loop;
        this.releaseInputs = releaseInputs;
    }

    /**
     * Takes a job.
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
        pool().ifPresent(limits -> waitEstimator.arrive(task, callMillis(limits), nowMillis));
        loop.execute(this::pump);
    }

    /**
     * Tells whether a request that has not begun is better refused at once: it will be late, and
     * with what arrives before it, not be served while its caller waits.
     */
    private boolean isInfeasible(StageTask task, StagePool limits) {
        StageJob job = task.job();
        if (!job.isFirst()) {
            return false;
        }
        refreshWorkers();
        // An owner that has just started may not know the upstreams yet.
        if (workers.isEmpty() && upstreams.isLoaded()) {
            return true;
        }
        QueueWaitEstimator.Queue queue = queue(limits);
        double onTimeMillis =
                blockedMillis(queue.nowMillis())
                        + waitEstimator.onTimeWaitMillis(job.rank(), queue)
                        + limits.callMillis()
                        + job.laterMillis();
        double lateMillis =
                blockedMillis(queue.nowMillis())
                        + waitEstimator.lateWaitMillis(job.rank(), queue)
                        + limits.callMillis()
                        + job.leastLaterMillis();
        return queue.nowMillis() + onTimeMillis > job.objectiveAtMillis()
                && queue.nowMillis() + lateMillis > job.deadlineAtMillis();
    }

    /**
     * Notes pieces that callers asked for and that were not submitted, as their requests were
     * refused before.
     */
    void reportUnmetDemand(int rank, int pieces) {
        long nowMillis = loop.nowMillis();
        shares.recordDemand(rank, pieces, nowMillis);
        shares.recordRefusal(rank, pieces, nowMillis, nowMillis);
    }

    /** Returns the part of the work that a rank is assured of. */
    double assuredPart(int rank) {
        return shares.guaranteedShare(rank, loop.nowMillis());
    }

    /** Notes that this router has just become the owner, so that the upstreams may be at work. */
    void takeOver() {
        pool().ifPresent(
                        limits ->
                                inputRetention.useMaximumUntil(
                                        loop.nowMillis()
                                                + Math.round(
                                                        CALLS_AHEAD * fullCallMillis(limits))));
    }

    /**
     * Takes out the tasks that another owner is to serve: those that have not begun. Tasks that
     * were sent to this router though it was not the owner stay for a while, as their submitters
     * may know that the owner does not answer.
     *
     * @param atOnce whether such tasks are taken out, too
     */
    List<StageTask> removeNotStarted(boolean atOnce) {
        long nowMillis = loop.nowMillis();
        List<StageTask> taken =
                tasks.stream()
                        .filter(StageTask::isNotStarted)
                        .filter(
                                task ->
                                        atOnce
                                                || task.acceptedAsOwner()
                                                || nowMillis - task.arrivedMillis()
                                                        >= SETTLED_MILLIS)
                        .toList();
        tasks.removeAll(taken);
        taken.forEach(
                task -> budget.recordRequest(service, -StageJob.OWNER_BUDGET_SHARE, nowMillis));
        return taken;
    }

    void cancel(String requestId) {
        for (StageTask task : List.copyOf(tasks)) {
            if (task.job().requestId().equals(requestId)) {
                tasks.remove(task);
                task.drop();
                release(task.made());
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
     * Frees results at their maker; one that limits what it takes is called with a permit, and one
     * that pauses later.
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
                .ask(permits, makerId, loop, () -> loop.execute(this::free));
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

    /** Returns the time until an upstream takes calls, where all of them pause. */
    private long blockedMillis(long nowMillis) {
        return workers.values().stream()
                .mapToLong(worker -> worker.upstream().blockedMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Keeps results that have not lapsed for another try. */
    private void freeLater(String makerId, List<String> handles) {
        StageWorker worker = workers.get(makerId);
        if (worker == null) {
            return;
        }
        worker.usedBytes(loop.nowMillis());
        List<String> kept = handles.stream().filter(worker::keeps).toList();
        if (!kept.isEmpty()) {
            toFree.computeIfAbsent(makerId, id -> new ArrayList<>()).addAll(kept);
            scheduleFree(FREE_RETRY_MILLIS);
        }
    }

    /** The room of freed results counts as taken until their maker had time for it. */
    private void freeNow(String makerId, List<String> handles) {
        upstreams
                .known(makerId)
                .filter(maker -> !maker.isLeaving())
                .ifPresent(
                        maker -> {
                            maker.requestSent(loop.nowMillis());
                            port.free(maker.entry(), handles);
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
     * Logs the queue, what became of its pieces since the last time, and the upstreams, where
     * anything waits.
     *
     * @param owner whether this router still owns the service
     */
    void logState(boolean owner) {
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
                counters.take(),
                new RankReport(tasks, counters, this::expectedWaitMillis)
                        .take(pool().map(this::callMillis).orElse(0.0), nowMillis),
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

    int openJobs() {
        return tasks.size();
    }

    /** Returns the time until a new piece of a rank would be in a call. */
    long expectedWaitMillis(int rank) {
        return pool().map(limits -> Math.round(waitEstimator.onTimeWaitMillis(rank, queue(limits))))
                .map(millis -> millis + blockedMillis(loop.nowMillis()))
                .orElse(0L);
    }

    private QueueWaitEstimator.Queue queue(StagePool limits) {
        return new QueueWaitEstimator.Queue(
                tasks, callMillis(limits), millisPerPiece(limits), loop.nowMillis());
    }

    /** Returns the time that one piece takes when all upstreams run full calls, or as observed. */
    private double millisPerPiece(StagePool limits) {
        // Where all pause, the pause is added to the waits and they count as open.
        boolean allClosed = blockedMillis(loop.nowMillis()) > 0;
        double speed =
                workers.values().stream()
                        .filter(worker -> allClosed || !isClosed(worker.upstream()))
                        .mapToDouble(worker -> 1 / worker.slowness())
                        .sum();
        double full = fullCallMillis(limits) / limits.batch() / Math.max(MIN_SPEED, speed);
        return Math.max(full, drain.millisPerPiece(loop.nowMillis()));
    }

    /** Returns the time that a call takes, in milliseconds; 0 where the service is unknown. */
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
     * Books the time of a call; those of slow upstreams, which get few, say nothing of the next.
     */
    void callEnded(StageWorker worker, double elapsedMillis) {
        if (worker.slowness() < SLOW) {
            callTime.sample(elapsedMillis);
        }
    }

    private static double fullCallMillis(StagePool limits) {
        return limits.callMillis() + limits.batch() * limits.pieceMillis();
    }

    /** Ends tasks that cannot be served in time and fills the idle upstreams. */
    void pump() {
        Optional<StagePool> limits = pool();
        if (limits.isEmpty()) {
            return;
        }
        long nowMillis = loop.nowMillis();
        refreshWorkers();
        failLate(limits.get(), nowMillis);
        for (StageWorker worker : idle(limits.get(), nowMillis)) {
            fill(worker, limits.get(), nowMillis);
        }
        drain.observe(tasks.stream().anyMatch(task -> !task.waiting().isEmpty()), nowMillis);
        scheduleWakeUp();
    }

    /** Ends the tasks that will not be done in time, behind all that is served before them. */
    private void failLate(StagePool limits, long nowMillis) {
        double pieceMillis = millisPerPiece(limits);
        long blockedMillis = blockedMillis(nowMillis);
        int ahead = 0;
        Map<Integer, Integer> aheadOfRank = new HashMap<>();
        for (StageTask task : StageOrder.byRank(tasks, callMillis(limits), nowMillis)) {
            int waiting = task.waiting().size();
            if (waiting > 0 && task.haveInputsExpired(nowMillis)) {
                counters.count(PieceCounters.Event.INPUT_GONE, waiting);
                fail(task, StageFailure.INPUT_GONE);
                continue;
            }
            int rank = task.job().rank();
            int ownAhead = aheadOfRank.getOrDefault(rank, 0);
            double doneMillis =
                    nowMillis
                            + blockedMillis
                            + waitEstimator.leastWaitMillis(
                                    rank, ahead, ownAhead, pieceMillis, nowMillis)
                            + limits.callMillis();
            double latest = task.job().deadlineAtMillis() - (double) task.job().leastLaterMillis();
            if (waiting > 0 && doneMillis > latest) {
                counters.count(PieceCounters.Event.LATE, rank, waiting);
                fail(task, StageFailure.LATE);
            } else {
                ahead += waiting;
                aheadOfRank.put(rank, ownAhead + waiting);
            }
        }
    }

    /** Returns when the first of a job's inputs lapses; never where it has none. */
    private long inputsExpireAtMillis(StageJob job, long nowMillis) {
        return job.inputs().stream()
                .map(StageResult::service)
                .distinct()
                .flatMap(maker -> pools.apply(maker).stream())
                .mapToLong(maker -> nowMillis + maker.resultMillis())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    void fail(StageTask task, StageFailure failure) {
        if (tasks.remove(task)) {
            shares.recordRefusal(
                    task.job().rank(), task.job().pieces(), task.arrivedMillis(), loop.nowMillis());
            release(task.made());
            task.fail(failure);
        }
    }

    /** Takes a made piece; a task that is whole ends. */
    void made(StageBatch.Part part, StageResult result) {
        StageTask task = part.task();
        if (task.isEnded()) {
            counters.count(PieceCounters.Event.UNUSED, 1);
            release(List.of(result));
            return;
        }
        counters.count(PieceCounters.Event.MADE, 1);
        task.made(part.piece(), result);
        if (task.isWhole()) {
            tasks.remove(task);
            task.finish();
        }
    }

    /** Gives up the inputs of a task whose pieces have all read them. */
    void inputsRead(StageTask task) {
        releaseInputs.accept(task.job().inputs());
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
                                .thenComparingDouble(StageWorker::slowness))
                .toList();
    }

    /**
     * Tells whether an upstream may be called; otherwise a permit is asked for where work waits.
     */
    private boolean hasPermit(StageWorker worker) {
        String id = worker.upstream().entry().id();
        if (!permits.isNeeded(PermitKind.SEND, id) || worker.permit().isHeld(loop.now())) {
            return true;
        }
        if (waitingPieces() > 0) {
            worker.permit().ask(permits, id, loop, this::pump);
        }
        return false;
    }

    /** Keeps a slow upstream idle but for a call now and then that measures it anew. */
    private boolean isTooSlow(StageWorker worker, long nowMillis) {
        if (worker.slowness() < SLOW || nowMillis - worker.lastCallMillis() > SLOW_PROBE_MILLIS) {
            return false;
        }
        return workers.values().stream().anyMatch(other -> other.slowness() < SLOW);
    }

    private void fill(StageWorker worker, StagePool limits, long nowMillis) {
        StageBatch batch = new StageBatch(limits, usableRoom(limits) - worker.usedBytes(nowMillis));
        boolean probe = worker.slowness() >= SLOW;
        String failureDomain = worker.upstream().entry().failureDomain();
        List<StageTask> eligible =
                tasks.stream()
                        .filter(task -> !task.waiting().isEmpty())
                        .filter(task -> !worker.lacksRoomFor(task.job().resultBytes(), nowMillis))
                        .filter(task -> mayTake(worker, task, limits, nowMillis))
                        .toList();
        for (StageTask task :
                order.order(
                        eligible,
                        callMillis(limits),
                        nowMillis,
                        failureDomain,
                        shares,
                        limits.batch())) {
            batch.take(task);
            if (batch.isFull() || (probe && !batch.isEmpty())) {
                break;
            }
        }
        if (!batch.isEmpty()) {
            send(worker, batch, limits, nowMillis);
        }
    }

    /** Returns the room less a margin, as the sizes of results are approximate. */
    private static long usableRoom(StagePool limits) {
        return Math.round(limits.roomBytes() * USABLE_ROOM_SHARE);
    }

    /** Tells whether an upstream in another failure domain than the task's may take it already. */
    private boolean mayTake(StageWorker worker, StageTask task, StagePool limits, long nowMillis) {
        String wanted = task.job().failureDomain();
        return StageOrder.mayCross(task, callMillis(limits), nowMillis)
                || worker.upstream().entry().failureDomain().equals(wanted)
                || workers.values().stream()
                        .noneMatch(w -> w.upstream().entry().failureDomain().equals(wanted));
    }

    private void send(StageWorker worker, StageBatch batch, StagePool limits, long nowMillis) {
        List<StageItem> items = batch.parts().stream().map(part -> item(part, nowMillis)).toList();
        worker.begin(batch.bytes(), nowMillis);
        worker.permit().use();
        double factor = worker.slowness() >= SLOW ? TIMEOUT_FACTOR_WHEN_SLOW : TIMEOUT_FACTOR;
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
        drain.took(items.size(), nowMillis);
        Map<Integer, Integer> taken = batch.piecesOfRank();
        taken.forEach((rank, pieces) -> counters.count(PieceCounters.Event.TAKEN, rank, pieces));
        shares.recordServed(taken, limits.batch(), nowMillis);
        double callMillis = callMillis(limits);
        batch.parts().forEach(part -> waitEstimator.serve(part.task(), callMillis, nowMillis));
    }

    private static StageItem item(StageBatch.Part part, long nowMillis) {
        StageJob job = part.task().job();
        return new StageItem(
                job.requestId(),
                job.stage(),
                part.piece(),
                Math.max(1, job.deadlineAtMillis() - nowMillis),
                job.key(),
                job.inputs().stream().map(StageResult::handle).toList());
    }

    private void scheduleWakeUp() {
        wakeUp.dispose();
        if (tasks.isEmpty()) {
            return;
        }
        wakeUp = loop.after(WAKE_UP_MILLIS, this::pump);
    }

    /**
     * Queues the pieces of a task again that a call did not make; that is one repeat.
     *
     * @param failed whether the upstream failed, and did not just lack room
     */
    void requeue(StageTask task, List<Integer> pieces, boolean failed) {
        if (task.isEnded()) {
            return;
        }
        boolean hopeless = failed && !task.recordFailure(MOST_FAILURES);
        if (hopeless || !budget.tryRetry(service, loop.nowMillis())) {
            fail(task, StageFailure.UPSTREAM_FAILED);
            return;
        }
        task.waiting().addAll(pieces);
    }
}
