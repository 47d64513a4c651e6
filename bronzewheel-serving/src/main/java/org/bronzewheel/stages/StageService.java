package org.bronzewheel.stages;

import java.util.List;

/** Runs stage jobs at the router that owns the stage service. */
public interface StageService {
    /**
     * Submits a job.
     *
     * @param job the pieces
     * @param listener receives the outcome, never before this method returns
     */
    void submit(StageJob job, StageListener listener);

    /**
     * Releases results so that they can be freed.
     *
     * @param results the results, of any services
     */
    void release(List<StageResult> results);

    /**
     * Cancels the jobs of a request; pieces already in a call are not stopped.
     *
     * @param service the stage service
     * @param requestId the id of the caller's attempt
     */
    void cancel(String service, String requestId);

    /**
     * Records demand that was not submitted because the request was refused.
     *
     * @param service the stage service
     * @param rank the rank of the request
     * @param pieces the number of pieces
     */
    void reportUnmetDemand(String service, int rank, int pieces);

    /**
     * Returns the expected queueing and call time of a new job.
     *
     * @param service the stage service
     * @param rank the rank of the job
     * @return the expected time and the age of the information
     */
    StageWait expectedWait(String service, int rank);
}
