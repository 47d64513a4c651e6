package org.bronzewheel.stages;

import java.util.List;

/** Receives the outcome of a job; called once. */
public interface StageListener {
    /**
     * Called when all pieces are complete.
     *
     * @param results one result for each piece, in order
     */
    void onResults(List<StageResult> results);

    /**
     * Called when the job has failed.
     *
     * @param failure the reason
     */
    void onFailure(StageFailure failure);
}
