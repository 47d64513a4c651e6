package org.bronzewheel.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.stages.StageResult;

/** The progress of one request through the stages of its route. */
final class StageProgress {
    private static final long LARGE_RESULT_BYTES = 200_000;
    private static final int NO_STAGE = -1;

    private final ServiceRoute route;
    private final List<Integer> pieces;
    private final Map<Integer, List<StageResult>> results = new TreeMap<>();
    private final List<Integer> started = new ArrayList<>();

    StageProgress(ServiceRoute route, List<Integer> pieces) {
        this.route = route;
        this.pieces = pieces;
    }

    /** Starts the stages whose inputs are available and returns them. */
    List<Integer> startReady() {
        List<Integer> ready = new ArrayList<>();
        for (int stage = 0; stage < route.stages().size(); stage++) {
            if (piecesOf(stage) > 0
                    && !started.contains(stage)
                    && hasInputs(stage)
                    && isDue(stage)) {
                ready.add(stage);
            }
        }
        started.addAll(ready);
        return ready;
    }

    /**
     * Returns whether a stage should start now. Large results occupy memory until the request ends,
     * so a short branch with large results is deferred until the longest branch is nearly done.
     */
    private boolean isDue(int stage) {
        if (!isDeferred(stage)) {
            return true;
        }
        int longest = 0;
        for (int other = 0; other < route.stages().size(); other++) {
            if (!isDone(other)) {
                longest = Math.max(longest, stagesAfter(other));
            }
        }
        return longest <= stagesAfter(stage) + 1;
    }

    private boolean isDeferred(int stage) {
        return route.stages().get(stage).resultBytes() >= LARGE_RESULT_BYTES;
    }

    int piecesOf(int stage) {
        return stage < pieces.size() ? pieces.get(stage) : 0;
    }

    /** Returns the stages that were never started. */
    List<Integer> notStarted() {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> piecesOf(stage) > 0 && !started.contains(stage))
                .boxed()
                .toList();
    }

    private boolean hasInputs(int stage) {
        return route.stages().get(stage).after().stream().allMatch(this::isDone);
    }

    private boolean isDone(int stage) {
        return piecesOf(stage) == 0 || results.containsKey(stage);
    }

    void complete(int stage, List<StageResult> produced) {
        results.put(stage, produced);
    }

    boolean hasNoResults() {
        return results.isEmpty();
    }

    boolean isComplete() {
        for (int stage = 0; stage < route.stages().size(); stage++) {
            if (!isDone(stage)) {
                return false;
            }
        }
        return true;
    }

    List<StageResult> inputsOf(int stage) {
        List<StageResult> inputs = new ArrayList<>();
        for (int before : route.stages().get(stage).after()) {
            inputs.addAll(results.getOrDefault(before, List.of()));
        }
        return inputs;
    }

    /**
     * Returns the inputs of a stage that no other unfinished stage needs, and which may therefore
     * be released once this stage has read them.
     */
    List<StageResult> exclusiveInputsOf(int stage) {
        List<StageResult> inputs = new ArrayList<>();
        for (int before : route.stages().get(stage).after()) {
            if (consumersAreDoneExcept(before, stage)) {
                inputs.addAll(results.getOrDefault(before, List.of()));
            }
        }
        return inputs;
    }

    /**
     * Returns the failure domain with most input bytes of a stage, if they are large enough to
     * matter.
     */
    Optional<String> inputFailureDomain(int stage) {
        Map<String, Long> bytes = bytesByFailureDomain(inputsOf(stage));
        return bytes.entrySet().stream()
                .filter(entry -> entry.getValue() >= LARGE_RESULT_BYTES)
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /** Returns the results of the last stages, which are the inputs of the upstream. */
    List<StageResult> outputs() {
        List<StageResult> outputs = new ArrayList<>();
        results.forEach(
                (stage, produced) -> {
                    if (route.isLastStage(stage)) {
                        outputs.addAll(produced);
                    }
                });
        return outputs;
    }

    Map<String, Long> outputBytesByFailureDomain() {
        return bytesByFailureDomain(outputs());
    }

    private static Map<String, Long> bytesByFailureDomain(List<StageResult> results) {
        Map<String, Long> bytes = new HashMap<>();
        results.forEach(r -> bytes.merge(r.failureDomain(), r.bytes(), Long::sum));
        return bytes;
    }

    /** Removes and returns all results. */
    List<StageResult> removeResults() {
        List<StageResult> removed = results.values().stream().flatMap(List::stream).toList();
        results.clear();
        return removed;
    }

    /** Removes and returns the results whose consumers are all done. */
    List<StageResult> removeConsumedResults() {
        List<StageResult> used = new ArrayList<>();
        for (int stage = 0; stage < route.stages().size(); stage++) {
            List<StageResult> produced = results.getOrDefault(stage, List.of());
            if (produced.isEmpty()
                    || route.isLastStage(stage)
                    || !consumersAreDoneExcept(stage, NO_STAGE)) {
                continue;
            }
            used.addAll(produced);
            results.put(stage, List.of());
        }
        return used;
    }

    /** Returns whether all stages that need the results of a stage are done, leaving one out. */
    private boolean consumersAreDoneExcept(int stage, int excluded) {
        for (int other = 0; other < route.stages().size(); other++) {
            StageStep step = route.stages().get(other);
            if (other != excluded && step.after().contains(stage) && !isDone(other)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the services of unfinished stages, in stage order. */
    List<String> pendingServices() {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> !isDone(stage))
                .mapToObj(stage -> route.stages().get(stage).service())
                .distinct()
                .toList();
    }

    /** Returns the time until all stages are done, given the time of each stage. */
    long remainingMillis(IntToLongFunction stageMillis) {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> !isDone(stage))
                .mapToLong(stage -> stageMillis(stage, stageMillis))
                .max()
                .orElse(0);
    }

    /** Returns the time from the end of a stage until all stages that start after it are done. */
    long millisAfter(int stage, IntToLongFunction stageMillis) {
        return IntStream.range(0, route.stages().size())
                .filter(other -> !isDone(other) && startsAfter(other, stage))
                .mapToLong(other -> stageMillis(other, stageMillis))
                .max()
                .orElse(0);
    }

    private long stageMillis(int stage, IntToLongFunction stageMillis) {
        return stageMillis.applyAsLong(stage) + millisAfter(stage, stageMillis);
    }

    /** Returns whether a stage depends on another one or is deferred until that one is done. */
    private boolean startsAfter(int stage, int before) {
        return route.stages().get(stage).after().contains(before)
                || (isDeferred(stage) && stagesAfter(before) > stagesAfter(stage) + 1);
    }

    /** Returns the number of stages after a stage on the longest path to the request. */
    int stagesAfter(int stage) {
        int longest = 0;
        for (int other = 0; other < route.stages().size(); other++) {
            if (route.stages().get(other).after().contains(stage) && piecesOf(other) > 0) {
                longest = Math.max(longest, 1 + stagesAfter(other));
            }
        }
        return longest;
    }
}
