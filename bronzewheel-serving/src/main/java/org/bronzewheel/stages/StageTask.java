package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.List;

/** A queued job and the state of its pieces. */
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
     * Creates a task with all pieces queued.
     *
     * @param inputsExpireAtMillis when its inputs expire, by the monotonic clock
     * @param acceptedAsOwner whether this router owned the service when it accepted the job
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

    /** Returns whether the inputs of the task have expired. */
    boolean haveInputsExpired(long nowMillis) {
        return nowMillis >= inputsExpireAtMillis;
    }

    /** Returns whether no piece is complete or in a call. */
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

    /** Counts a failure and returns whether the task may be retried. */
    boolean recordFailure(int maxFailures) {
        failures++;
        return failures <= maxFailures;
    }

    void complete(int piece, StageResult result) {
        results[piece] = result;
    }

    List<StageResult> completed() {
        List<StageResult> completed = new ArrayList<>();
        for (StageResult result : results) {
            if (result != null) {
                completed.add(result);
            }
        }
        return completed;
    }

    boolean isComplete() {
        return completed().size() == results.length;
    }

    void finish() {
        ended = true;
        listener.onResults(List.of(results));
    }

    void fail(StageFailure failure) {
        ended = true;
        listener.onFailure(failure);
    }

    void discard() {
        ended = true;
    }
}
