package org.bronzewheel.stages;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.wire.StageHandle;
import org.bronzewheel.wire.StageJobCall;
import org.bronzewheel.wire.StageJobReply;

/** Converts jobs and results to and from the messages between routers. */
final class StageCodec {
    private StageCodec() {}

    /**
     * Encodes a job. Times are sent relative to now, as routers do not share a clock.
     *
     * @param unmet the unmet pieces by rank, reported with the job
     */
    static StageJobCall encode(StageJob job, Map<Integer, Integer> unmet, long nowMillis) {
        return StageJobCall.newBuilder()
                .setRequestId(job.requestId())
                .setStage(job.stage())
                .setService(job.service())
                .setPieces(job.pieces())
                .setKey(job.key().orElse(""))
                .addAllInputs(encodeInputs(job))
                .setResultBytes(job.resultBytes())
                .setRank(job.rank())
                .setObjectiveLeftMillis(job.objectiveAtMillis() - nowMillis)
                .setDeadlineLeftMillis(job.deadlineAtMillis() - nowMillis)
                .setLaterMillis(job.laterMillis())
                .setLeastLaterMillis(job.leastLaterMillis())
                .setFailureDomain(job.failureDomain())
                .setFirst(job.isFirst())
                .putAllUnmetPieces(unmet)
                .build();
    }

    /** Returns the unmet pieces by rank. */
    static Map<Integer, Integer> decodeUnmet(StageJobCall call) {
        return call.getUnmetPiecesMap();
    }

    static StageJob decode(StageJobCall call, long nowMillis) {
        return new StageJob(
                call.getRequestId(),
                call.getStage(),
                call.getService(),
                call.getPieces(),
                Optional.of(call.getKey()).filter(key -> !key.isEmpty()),
                decode(call.getInputsList()),
                decode(call.getInputsList().stream().filter(StageHandle::getExclusive).toList()),
                call.getResultBytes(),
                call.getRank(),
                nowMillis + call.getObjectiveLeftMillis(),
                nowMillis + call.getDeadlineLeftMillis(),
                call.getLaterMillis(),
                call.getLeastLaterMillis(),
                call.getFailureDomain(),
                call.getFirst());
    }

    static StageJobReply encodeResults(List<StageResult> results) {
        return StageJobReply.newBuilder().addAllHandles(encode(results)).build();
    }

    static StageJobReply encodeFailure(StageFailure failure) {
        return StageJobReply.newBuilder().setFailure(failure.name()).build();
    }

    private static List<StageHandle> encodeInputs(StageJob job) {
        Set<StageResult> exclusive = Set.copyOf(job.exclusiveInputs());
        return job.inputs().stream()
                .map(input -> encode(input).setExclusive(exclusive.contains(input)).build())
                .toList();
    }

    static List<StageHandle> encode(List<StageResult> results) {
        return results.stream().map(result -> encode(result).build()).toList();
    }

    private static StageHandle.Builder encode(StageResult result) {
        return StageHandle.newBuilder()
                .setService(result.service())
                .setText(result.handle())
                .setMakerId(result.makerId())
                .setFailureDomain(result.failureDomain())
                .setBytes(result.bytes());
    }

    static List<StageResult> decode(List<StageHandle> handles) {
        return handles.stream()
                .map(
                        handle ->
                                new StageResult(
                                        handle.getService(),
                                        handle.getText(),
                                        handle.getMakerId(),
                                        handle.getFailureDomain(),
                                        handle.getBytes()))
                .toList();
    }
}
