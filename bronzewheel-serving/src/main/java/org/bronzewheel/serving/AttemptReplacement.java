package org.bronzewheel.serving;

/**
 * The replacement of a silent attempt, which stays open until another upstream can take the request
 * at once. If its results were consumed, the stages are rerun in the meantime.
 */
final class AttemptReplacement {
    private enum State {
        NONE,
        STAGES_RUNNING,
        STAGES_DONE
    }

    /** The delay before stages are rerun again, times the number of failed reruns. */
    private static final long RERUN_BACKOFF_MILLIS = 200;

    private final RequestExecution execution;
    private final RequestStages stages;
    private State state = State.NONE;
    private boolean retryTaken;
    private int failedReruns;
    private long rerunNotBeforeMillis;

    AttemptReplacement(RequestExecution execution, RequestStages stages) {
        this.execution = execution;
        this.stages = stages;
    }

    /** Replaces the attempt if possible; called repeatedly while it is silent. */
    void attemptSilent(String reason) {
        switch (state) {
            case NONE -> {
                if (stages.areConsumed()) {
                    rerunStages();
                } else {
                    execution.replaceAttempt(reason, retryTaken);
                }
            }
            case STAGES_DONE -> replaceWithNewResults(reason);
            case STAGES_RUNNING -> {}
        }
    }

    private void rerunStages() {
        if (execution.nowMillis() < rerunNotBeforeMillis || !execution.mayReplaceAttempt()) {
            return;
        }
        retryTaken = retryTaken || execution.takeRetry();
        if (retryTaken) {
            state = State.STAGES_RUNNING;
            stages.rerun(execution.nextEventDeadlineMillis());
        }
    }

    private void replaceWithNewResults(String reason) {
        if (execution.replaceAttempt(reason, true)) {
            reset();
        }
    }

    /** Returns whether the stages are rerun while the attempt stays open. */
    boolean isRerunningStages() {
        return state == State.STAGES_RUNNING;
    }

    /** Called when the rerun has succeeded. */
    void stagesDone() {
        state = State.STAGES_DONE;
        replaceWithNewResults("silent until its stages were rerun");
    }

    /** Called when the rerun has failed; the silent attempt may still go on. */
    void stagesFailed() {
        stages.cancelRerun();
        state = State.NONE;
        failedReruns++;
        rerunNotBeforeMillis = execution.nowMillis() + failedReruns * RERUN_BACKOFF_MILLIS;
    }

    /** Drops the replacement because the attempt goes on. */
    void attemptHeard() {
        if (state == State.STAGES_RUNNING || state == State.STAGES_DONE) {
            stages.cancelRerun();
        }
        reset();
    }

    private void reset() {
        state = State.NONE;
        retryTaken = false;
        failedReruns = 0;
        rerunNotBeforeMillis = 0;
    }

    /**
     * Called when the attempt has failed.
     *
     * @return whether its replacement was already being prepared
     */
    boolean attemptFailed() {
        boolean prepared = state == State.STAGES_RUNNING || state == State.STAGES_DONE;
        reset();
        return prepared;
    }
}
