package org.bronzewheel.execution;

import org.bronzewheel.request.Outcome;

/** The rule by which a stage is sent again. */
interface RetryRule {
    /**
     * Decides on a further attempt and books it.
     *
     * @param outcome the end of the last attempt
     * @param repeatable whether running the stage twice does no harm
     * @param attempts attempts made
     * @param run the request
     * @param stageIndex the stage, from 0
     * @return whether the stage may be sent again
     */
    boolean tryRetry(
            Outcome outcome, boolean repeatable, int attempts, RunContext run, int stageIndex);

    /** Books an answered attempt. */
    void onSuccess();
}
