package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.loop.Loop;

/** One call in progress at a stage upstream: hands its outcomes to the owner of the queue. */
final class StageCall implements StageCallListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long FULL_PAUSE_MILLIS = 120;
    private static final long BROKEN_PAUSE_MILLIS = 600;

    private final StageDispatcher owner;
    private final String service;
    private final StageWorker worker;
    private final StageBatch batch;
    private final long resultMillis;
    private final InputRetention inputRetention;
    private final PieceCounters counters;
    private final Loop loop;
    private final long beganMillis;
    private Disposable call = Disposable.disposed();
    private Disposable timeout = Disposable.disposed();
    private boolean gaveInputsUp;
    private boolean ended;

    StageCall(
            StageDispatcher owner,
            String service,
            StageWorker worker,
            StageBatch batch,
            long resultMillis,
            InputRetention inputRetention,
            PieceCounters counters,
            Loop loop) {
        this.owner = owner;
        this.service = service;
        this.worker = worker;
        this.batch = batch;
        this.resultMillis = resultMillis;
        this.inputRetention = inputRetention;
        this.counters = counters;
        this.loop = loop;
        this.beganMillis = loop.nowMillis();
    }

    void start(StagePort port, List<StageItem> items, long timeoutMillis) {
        call = port.run(worker.upstream().entry(), items, this);
        timeout = loop.after(timeoutMillis, this::timedOut);
        loop.after(inputRetention.millis(beganMillis), this::inputsRead);
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
        measure();
        if (gaveInputsUp) {
            inputRetention.observe(
                    outcomes.stream().anyMatch(o -> o.kind() == StageItemOutcome.Kind.INPUT_GONE));
        }
        Map<StageTask, List<Integer>> withoutRoom = new LinkedHashMap<>();
        Map<StageTask, List<Integer>> failed = new LinkedHashMap<>();
        for (int i = 0; i < outcomes.size(); i++) {
            StageBatch.Part part = batch.parts().get(i);
            StageTask task = part.task();
            switch (outcomes.get(i).kind()) {
                case MADE -> keep(part, outcomes.get(i).handle());
                case LATE -> {
                    counters.count(PieceCounters.Event.LATE, 1);
                    owner.fail(task, StageFailure.LATE);
                }
                case INPUT_GONE -> {
                    counters.count(PieceCounters.Event.INPUT_GONE, 1);
                    owner.fail(task, StageFailure.INPUT_GONE);
                }
                case NO_ROOM -> {
                    counters.count(PieceCounters.Event.NO_ROOM, 1);
                    worker.noRoomFor(task.job().resultBytes(), loop.nowMillis());
                    add(withoutRoom, part);
                }
                case FAILED -> {
                    counters.count(PieceCounters.Event.FAILED, 1);
                    add(failed, part);
                }
            }
        }
        withoutRoom.forEach((task, pieces) -> owner.requeue(task, pieces, false));
        failed.forEach((task, pieces) -> owner.requeue(task, pieces, true));
        owner.pump();
    }

    private static void add(Map<StageTask, List<Integer>> pieces, StageBatch.Part part) {
        pieces.computeIfAbsent(part.task(), task -> new ArrayList<>()).add(part.piece());
    }

    private void measure() {
        double elapsedMillis = (double) (loop.nowMillis() - beganMillis);
        worker.measured(elapsedMillis, batch.expectedMillis());
        owner.callEnded(worker, elapsedMillis);
    }

    private void keep(StageBatch.Part part, String handle) {
        long bytes = part.task().job().resultBytes();
        worker.keep(handle, bytes, loop.nowMillis() + resultMillis);
        owner.made(
                part,
                new StageResult(
                        service,
                        handle,
                        worker.upstream().entry().id(),
                        worker.upstream().entry().failureDomain(),
                        bytes));
    }

    @Override
    public void onFailure(boolean neverRan, String reason) {
        if (!end()) {
            return;
        }
        logger.atInfo().log(
                "stage call failed: service=%s upstream=%s pieces=%d neverRan=%s reason=%s",
                service, worker.upstream().entry().id(), batch.parts().size(), neverRan, reason);
        counters.count(PieceCounters.Event.FAILED, batch.parts().size());
        worker.pause(loop.nowMillis() + (neverRan ? FULL_PAUSE_MILLIS : BROKEN_PAUSE_MILLIS));
        Map<StageTask, List<Integer>> pieces = new LinkedHashMap<>();
        batch.parts().forEach(part -> add(pieces, part));
        pieces.forEach((task, again) -> owner.requeue(task, again, true));
        owner.pump();
    }

    /** Gives up the inputs of the tasks that are whole in this call, which fetched them first. */
    private void inputsRead() {
        if (ended) {
            return;
        }
        batch.parts().stream()
                .map(StageBatch.Part::task)
                .distinct()
                .filter(task -> !task.job().inputs().isEmpty())
                .filter(batch::holdsAllOf)
                .forEach(this::giveInputsUp);
    }

    private void giveInputsUp(StageTask task) {
        gaveInputsUp = true;
        owner.inputsRead(task);
    }

    private void timedOut() {
        call.dispose();
        measure();
        onFailure(false, "no answer in time");
    }
}
