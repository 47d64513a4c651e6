package org.bronzewheel.stages;

import java.util.List;

/** The receiver of the outcome of a job; called once. */
public interface StageListener {
    /**
     * Takes the results.
     *
     * @param results one result for each piece, in order
     */
    void onResults(List<StageResult> results);

    /**
     * Takes the failure.
     *
     * @param failure why there are no results
     */
    void onFailure(StageFailure failure);
}
