package org.bronzewheel.stages;

import java.util.List;

/** The work of stages, wherever it is done. */
public interface StageService {
    /**
     * Submits a job.
     *
     * @param job the pieces
     * @param listener takes the outcome, never before this method returns
     */
    void submit(StageJob job, StageListener listener);

    /**
     * Gives up results.
     *
     * @param results the results, of any services
     */
    void release(List<StageResult> results);

    /**
     * Gives up the pieces of a request that have not begun.
     *
     * @param service the stage service
     * @param requestId the id of the caller's attempt
     */
    void cancel(String service, String requestId);

    /**
     * Notes pieces that a caller asked for and that are not submitted, as its request was refused.
     *
     * @param service the stage service
     * @param rank the rank of the request
     * @param pieces the number of pieces
     */
    void reportUnmetDemand(String service, int rank, int pieces);

    /**
     * Returns the time that a new job is expected to wait.
     *
     * @param service the stage service
     * @param rank the rank of the job
     * @return the time and its age
     */
    StageWait expectedWait(String service, int rank);
}
