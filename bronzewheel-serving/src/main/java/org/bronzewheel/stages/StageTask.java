package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.List;

/** A job in the queue of its owner, with the pieces that are still to be made. */
final class StageTask {
    private final StageJob job;
    private final StageListener listener;
    private final long arrivedMillis;
    private final long inputsExpireAtMillis;
    private final boolean acceptedAsOwner;
    private final StageResult[] results;
    private final List<Integer> waiting = new ArrayList<>();
    private int failures;
    private boolean ended;

    /**
     * Creates a task of which all pieces wait.
     *
     * @param inputsExpireAtMillis when its inputs are no longer kept, by the steady clock
     * @param acceptedAsOwner whether this router owned the service when it took the job
     */
    StageTask(
            StageJob job,
            StageListener listener,
            long arrivedMillis,
            long inputsExpireAtMillis,
            boolean acceptedAsOwner) {
        this.job = job;
        this.listener = listener;
        this.arrivedMillis = arrivedMillis;
        this.inputsExpireAtMillis = inputsExpireAtMillis;
        this.acceptedAsOwner = acceptedAsOwner;
        this.results = new StageResult[job.pieces()];
        for (int piece = 0; piece < job.pieces(); piece++) {
            waiting.add(piece);
        }
    }

    StageJob job() {
        return job;
    }

    StageListener listener() {
        return listener;
    }

    boolean acceptedAsOwner() {
        return acceptedAsOwner;
    }

    /** Tells whether the task has waited for longer than its inputs are kept. */
    boolean haveInputsExpired(long nowMillis) {
        return nowMillis >= inputsExpireAtMillis;
    }

    /** Tells whether no piece is made or in a call. */
    boolean isNotStarted() {
        return waiting.size() == job.pieces();
    }

    long arrivedMillis() {
        return arrivedMillis;
    }

    List<Integer> waiting() {
        return waiting;
    }

    boolean isEnded() {
        return ended;
    }

    /** Returns whether another failure may be followed by another try. */
    boolean recordFailure(int most) {
        failures++;
        return failures <= most;
    }

    void made(int piece, StageResult result) {
        results[piece] = result;
    }

    List<StageResult> made() {
        List<StageResult> made = new ArrayList<>();
        for (StageResult result : results) {
            if (result != null) {
                made.add(result);
            }
        }
        return made;
    }

    boolean isWhole() {
        return made().size() == results.length;
    }

    void finish() {
        ended = true;
        listener.onResults(List.of(results));
    }

    void fail(StageFailure failure) {
        ended = true;
        listener.onFailure(failure);
    }

    void drop() {
        ended = true;
    }
}
