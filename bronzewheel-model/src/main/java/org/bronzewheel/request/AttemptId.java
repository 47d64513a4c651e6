package org.bronzewheel.request;

/**
 * The id of one attempt to run one stage; the upstream returns it in its answer.
 *
 * @param requestId the request
 * @param stageIndex the position of the stage in its pipeline, from 0
 * @param attempt the number of the attempt within the stage, from 1
 */
public record AttemptId(RequestId requestId, int stageIndex, int attempt) {
    @Override
    public String toString() {
        return requestId + "/" + stageIndex + "/" + attempt;
    }
}
