package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.loop.Loop;

/** A call in progress at a stage upstream; passes its outcomes to the dispatcher. */
final class StageCall implements StageCallListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** The lateness of a timer that shows that the loop has stalled. */
    private static final long MAX_LATE_MILLIS = 100;

    /** The time for reading the sockets after a stall. */
    private static final long READ_MILLIS = 100;

    private final StageDispatcher dispatcher;
    private final String service;
    private final StageWorker worker;
    private final StageBatch batch;
    private final long resultMillis;
    private final InputRetention inputRetention;
    private final PieceCounters counters;
    private final Loop loop;
    private final long startedMillis;
    private Disposable call = Disposable.disposed();
    private Disposable timeout = Disposable.disposed();
    private long timeoutAtMillis;
    private boolean inputsReleased;
    private boolean ended;

    StageCall(
            StageDispatcher dispatcher,
            String service,
            StageWorker worker,
            StageBatch batch,
            long resultMillis,
            InputRetention inputRetention,
            PieceCounters counters,
            Loop loop) {
        this.dispatcher = dispatcher;
        this.service = service;
        this.worker = worker;
        this.batch = batch;
        this.resultMillis = resultMillis;
        this.inputRetention = inputRetention;
        this.counters = counters;
        this.loop = loop;
        this.startedMillis = loop.nowMillis();
    }

    void start(StagePort port, List<StageItem> items, long timeoutMillis) {
        call = port.run(worker.upstream().entry(), items, this);
        timeoutAtMillis = loop.nowMillis() + timeoutMillis;
        timeout = loop.after(timeoutMillis, this::checkTimeout);
        loop.after(inputRetention.millis(startedMillis), this::releaseReadInputs);
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.dispose();
        worker.end(batch.bytes());
        return true;
    }

    @Override
    public void onOutcomes(List<StageItemOutcome> outcomes) {
        if (!end()) {
            return;
        }
        recordDuration();
        if (inputsReleased) {
            inputRetention.observe(
                    outcomes.stream().anyMatch(o -> o.kind() == StageItemOutcome.Kind.INPUT_GONE));
        }
        Map<StageTask, List<Integer>> rejectedForSpace = new LinkedHashMap<>();
        Map<StageTask, List<Integer>> failed = new LinkedHashMap<>();
        for (int i = 0; i < outcomes.size(); i++) {
            StageBatch.Entry entry = batch.entries().get(i);
            StageTask task = entry.task();
            switch (outcomes.get(i).kind()) {
                case MADE -> storeResult(entry, outcomes.get(i).handle());
                case LATE -> {
                    counters.count(PieceCounters.Event.LATE, 1);
                    dispatcher.fail(task, StageFailure.LATE);
                }
                case INPUT_GONE -> {
                    counters.count(PieceCounters.Event.INPUT_GONE, 1);
                    dispatcher.fail(task, StageFailure.INPUT_GONE);
                }
                case NO_ROOM -> {
                    counters.count(PieceCounters.Event.NO_ROOM, 1);
                    worker.recordNoRoom(task.job().resultBytes(), loop.nowMillis());
                    add(rejectedForSpace, entry);
                }
                case FAILED -> {
                    counters.count(PieceCounters.Event.FAILED, 1);
                    add(failed, entry);
                }
            }
        }
        rejectedForSpace.forEach((task, pieces) -> dispatcher.requeue(task, pieces, false));
        failed.forEach((task, pieces) -> dispatcher.requeue(task, pieces, true));
        dispatcher.pump();
    }

    private static void add(Map<StageTask, List<Integer>> pieces, StageBatch.Entry entry) {
        pieces.computeIfAbsent(entry.task(), task -> new ArrayList<>()).add(entry.piece());
    }

    private void recordDuration() {
        long nowMillis = loop.nowMillis();
        double elapsedMillis = (double) (nowMillis - startedMillis);
        worker.recordDuration(elapsedMillis, batch.expectedMillis(), nowMillis);
        dispatcher.recordCallDuration(worker, elapsedMillis);
    }

    private void storeResult(StageBatch.Entry entry, String handle) {
        long bytes = entry.task().job().resultBytes();
        worker.store(handle, bytes, loop.nowMillis() + resultMillis);
        dispatcher.complete(
                entry,
                new StageResult(
                        service,
                        handle,
                        worker.upstream().entry().id(),
                        worker.upstream().entry().failureDomain(),
                        bytes));
    }

    @Override
    public void onFailure(StageCallFailure failure, String reason) {
        if (!end()) {
            return;
        }
        logger.atInfo().log(
                "stage call failed: service=%s upstream=%s pieces=%d failure=%s reason=%s",
                service, worker.upstream().entry().id(), batch.entries().size(), failure, reason);
        counters.count(PieceCounters.Event.FAILED, batch.entries().size());
        worker.recordFailure(failure, loop.nowMillis());
        Map<StageTask, List<Integer>> pieces = new LinkedHashMap<>();
        batch.entries().forEach(entry -> add(pieces, entry));
        if (failure == StageCallFailure.NOT_SENT || failure == StageCallFailure.WITHHELD) {
            // No upstream received the pieces, so that sending them again spends no retry.
            pieces.forEach((task, unsent) -> task.waiting().addAll(unsent));
        } else {
            pieces.forEach((task, again) -> dispatcher.requeue(task, again, true));
        }
        dispatcher.pump();
    }

    /**
     * Releases the exclusive inputs of the tasks whose pieces are all in this call, as the upstream
     * fetches inputs before it starts work.
     */
    private void releaseReadInputs() {
        if (ended) {
            return;
        }
        batch.entries().stream()
                .map(StageBatch.Entry::task)
                .distinct()
                .filter(task -> !task.job().exclusiveInputs().isEmpty())
                .filter(batch::containsAllPiecesOf)
                .forEach(this::releaseInputs);
    }

    private void releaseInputs(StageTask task) {
        inputsReleased = true;
        dispatcher.releaseReadInputs(task);
    }

    /** A timer that fires late comes after a stall: the response may wait unread in its socket. */
    private void checkTimeout() {
        long nowMillis = loop.nowMillis();
        if (nowMillis > timeoutAtMillis + MAX_LATE_MILLIS) {
            timeoutAtMillis = nowMillis + READ_MILLIS;
        }
        if (nowMillis < timeoutAtMillis) {
            timeout = loop.after(timeoutAtMillis - nowMillis, this::checkTimeout);
        } else {
            onTimeout();
        }
    }

    private void onTimeout() {
        call.dispose();
        recordDuration();
        onFailure(StageCallFailure.BROKEN, "call timed out");
    }
}
