package org.bronzewheel.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.stages.StageResult;

/** The progress of one request through the stages of its route. */
final class StageProgress {
    private static final long LARGE_RESULT_BYTES = 200_000;

    private final ServiceRoute route;
    private final List<Integer> pieces;
    private final Map<Integer, List<StageResult>> results = new TreeMap<>();
    private final List<Integer> begun = new ArrayList<>();

    StageProgress(ServiceRoute route, List<Integer> pieces) {
        this.route = route;
        this.pieces = pieces;
    }

    /** Returns the stages whose inputs are there and that were not returned before. */
    List<Integer> begin() {
        List<Integer> ready = new ArrayList<>();
        for (int stage = 0; stage < route.stages().size(); stage++) {
            if (piecesOf(stage) > 0 && !begun.contains(stage) && hasInputs(stage) && isDue(stage)) {
                ready.add(stage);
            }
        }
        begun.addAll(ready);
        return ready;
    }

    /**
     * Tells whether a stage is to begin now: large results take room from their making to the
     * request's end, so those of a short branch wait until the long branch is nearly done.
     */
    private boolean isDue(int stage) {
        if (!isHeldBack(stage)) {
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

    private boolean isHeldBack(int stage) {
        return route.stages().get(stage).resultBytes() >= LARGE_RESULT_BYTES;
    }

    int piecesOf(int stage) {
        return stage < pieces.size() ? pieces.get(stage) : 0;
    }

    /** Returns the stages that were never begun. */
    List<Integer> notBegun() {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> piecesOf(stage) > 0 && !begun.contains(stage))
                .boxed()
                .toList();
    }

    private boolean hasInputs(int stage) {
        return route.stages().get(stage).after().stream().allMatch(this::isDone);
    }

    private boolean isDone(int stage) {
        return piecesOf(stage) == 0 || results.containsKey(stage);
    }

    void done(int stage, List<StageResult> made) {
        results.put(stage, made);
    }

    boolean hasNoResults() {
        return results.isEmpty();
    }

    boolean isWhole() {
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

    /** Returns where the inputs of a stage lie, where they are large enough to matter. */
    Optional<String> inputFailureDomain(int stage) {
        Map<String, Long> bytes = bytesByFailureDomain(inputsOf(stage));
        return bytes.entrySet().stream()
                .filter(entry -> entry.getValue() >= LARGE_RESULT_BYTES)
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /** Returns the results that the request itself takes. */
    List<StageResult> outputs() {
        List<StageResult> outputs = new ArrayList<>();
        results.forEach(
                (stage, made) -> {
                    if (route.isLastStage(stage)) {
                        outputs.addAll(made);
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

    /** Takes all results out. */
    List<StageResult> takeResults() {
        List<StageResult> taken = results.values().stream().flatMap(List::stream).toList();
        results.clear();
        return taken;
    }

    /** Takes out the results of stages that fed only stages that are done. */
    List<StageResult> takeUsedResults() {
        List<StageResult> used = new ArrayList<>();
        for (int stage = 0; stage < route.stages().size(); stage++) {
            List<StageResult> made = results.getOrDefault(stage, List.of());
            if (made.isEmpty() || route.isLastStage(stage) || !followersAreDone(stage)) {
                continue;
            }
            used.addAll(made);
            results.put(stage, List.of());
        }
        return used;
    }

    private boolean followersAreDone(int stage) {
        for (int other = 0; other < route.stages().size(); other++) {
            StageStep step = route.stages().get(other);
            if (step.after().contains(stage) && !isDone(other)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the services of the stages that are not done, in order. */
    List<String> openServices() {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> !isDone(stage))
                .mapToObj(stage -> route.stages().get(stage).service())
                .distinct()
                .toList();
    }

    /** Returns the time until all stages are done, by the time of one stage of each service. */
    long remainingMillis(ToLongFunction<String> stageMillis) {
        return IntStream.range(0, route.stages().size())
                .filter(stage -> !isDone(stage))
                .mapToLong(stage -> stageMillis(stage, stageMillis))
                .max()
                .orElse(0);
    }

    /** Returns the time from the end of a stage until all that begin after it are done. */
    long millisAfter(int stage, ToLongFunction<String> stageMillis) {
        return IntStream.range(0, route.stages().size())
                .filter(other -> !isDone(other) && beginsAfter(other, stage))
                .mapToLong(other -> stageMillis(other, stageMillis))
                .max()
                .orElse(0);
    }

    private long stageMillis(int stage, ToLongFunction<String> stageMillis) {
        return stageMillis.applyAsLong(route.stages().get(stage).service())
                + millisAfter(stage, stageMillis);
    }

    /** Tells whether a stage needs another one, or is held back until that one is done. */
    private boolean beginsAfter(int stage, int before) {
        return route.stages().get(stage).after().contains(before)
                || (isHeldBack(stage) && stagesAfter(before) > stagesAfter(stage) + 1);
    }

    /** Returns the number of stages on the longest way from a stage to the request, beside it. */
    int stagesAfter(int stage) {
        int longest = 0;
        for (int other = stage + 1; other < route.stages().size(); other++) {
            if (route.stages().get(other).after().contains(stage) && piecesOf(other) > 0) {
                longest = Math.max(longest, 1 + stagesAfter(other));
            }
        }
        return longest;
    }
}
