package org.bronzewheel.stages;

import java.util.List;
import java.util.Optional;

/**
 * All pieces of one stage of one request.
 *
 * @param requestId the id of the caller's attempt
 * @param stage the index of the stage in the request's route
 * @param service the stage service
 * @param pieces the number of pieces
 * @param key the key of the pieces, for a stage without inputs
 * @param inputs all results that the stage needs
 * @param exclusiveInputs those of the inputs that no other stage of the request needs any more
 * @param resultBytes the approximate size of each result, in bytes
 * @param rank the rank of the request, 0 first
 * @param objectiveAtMillis the target time for the answer to the request, by the monotonic clock
 * @param deadlineAtMillis the deadline of the request, by the monotonic clock
 * @param laterMillis the expected time from the end of this stage to the answer, in milliseconds
 * @param leastLaterMillis the same without queueing, in milliseconds
 * @param failureDomain the preferred failure domain, where the results will be used
 * @param isFirst whether no work has been done for the request yet
 */
public record StageJob(
        String requestId,
        int stage,
        String service,
        int pieces,
        Optional<String> key,
        List<StageResult> inputs,
        List<StageResult> exclusiveInputs,
        long resultBytes,
        int rank,
        long objectiveAtMillis,
        long deadlineAtMillis,
        long laterMillis,
        long leastLaterMillis,
        String failureDomain,
        boolean isFirst) {
    /** The share of a job's retry budget that its submitter may use when an owner is lost. */
    static final double SUBMITTER_BUDGET_SHARE = 0.5;

    /** The share that the owner may use for failed calls. */
    static final double OWNER_BUDGET_SHARE = 1 - SUBMITTER_BUDGET_SHARE;
}
