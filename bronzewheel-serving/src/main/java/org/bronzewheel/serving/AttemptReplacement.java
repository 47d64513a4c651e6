package org.bronzewheel.serving;

/**
 * The replacement of a silent attempt, which stays open until another upstream can take the request
 * at once. If its results were consumed, the stages are rerun in the meantime.
 */
final class AttemptReplacement {
    private enum State {
        NONE,
        STAGES_RUNNING,
        STAGES_DONE,
        STAGES_FAILED
    }

    private final RequestExecution execution;
    private final RequestStages stages;
    private State state = State.NONE;

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
                    execution.replaceAttempt(reason, false);
                }
            }
            case STAGES_DONE -> replaceWithNewResults(reason);
            case STAGES_RUNNING, STAGES_FAILED -> {}
        }
    }

    private void rerunStages() {
        if (execution.mayReplaceAttempt() && execution.takeRetry()) {
            state = State.STAGES_RUNNING;
            stages.rerun(execution.nextEventDeadlineMillis());
        }
    }

    private void replaceWithNewResults(String reason) {
        if (execution.replaceAttempt(reason, true)) {
            state = State.NONE;
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
        state = State.STAGES_FAILED;
    }

    /** Drops the replacement because the attempt goes on. */
    void attemptHeard() {
        if (state == State.STAGES_RUNNING || state == State.STAGES_DONE) {
            stages.cancelRerun();
        }
        state = State.NONE;
    }

    /**
     * Called when the attempt has failed.
     *
     * @return whether its replacement was already being prepared
     */
    boolean attemptFailed() {
        boolean prepared = state == State.STAGES_RUNNING || state == State.STAGES_DONE;
        state = State.NONE;
        return prepared;
    }
}
