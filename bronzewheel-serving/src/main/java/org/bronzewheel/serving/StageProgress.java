package org.bronzewheel.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.stages.StageResult;

/** The progress of one request through the stages of its route. */
final class StageProgress {
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
            if (piecesOf(stage) > 0 && !begun.contains(stage) && hasInputs(stage)) {
                ready.add(stage);
            }
        }
        begun.addAll(ready);
        return ready;
    }

    int piecesOf(int stage) {
        return stage < pieces.size() ? pieces.get(stage) : 0;
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

    boolean isWhole() {
        for (int stage = 0; stage < route.stages().size(); stage++) {
            if (!isDone(stage)) {
                return false;
            }
        }
        return true;
    }

    List<String> inputsOf(int stage) {
        List<String> handles = new ArrayList<>();
        for (int before : route.stages().get(stage).after()) {
            results.getOrDefault(before, List.of()).forEach(r -> handles.add(r.handle()));
        }
        return handles;
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
        Map<String, Long> bytes = new HashMap<>();
        outputs().forEach(r -> bytes.merge(r.failureDomain(), r.bytes(), Long::sum));
        return bytes;
    }

    /** Takes all results out, by the service of their makers. */
    Map<String, List<StageResult>> takeResults() {
        Map<String, List<StageResult>> byService = new HashMap<>();
        results.forEach(
                (stage, made) ->
                        byService
                                .computeIfAbsent(
                                        route.stages().get(stage).service(), s -> new ArrayList<>())
                                .addAll(made));
        results.clear();
        return byService;
    }

    /** Takes out the results of stages that fed only stages that are done. */
    Map<String, List<StageResult>> takeUsedResults() {
        Map<String, List<StageResult>> byService = new HashMap<>();
        for (int stage = 0; stage < route.stages().size(); stage++) {
            List<StageResult> made = results.getOrDefault(stage, List.of());
            if (made.isEmpty() || route.isLastStage(stage) || !followersAreDone(stage)) {
                continue;
            }
            byService
                    .computeIfAbsent(route.stages().get(stage).service(), s -> new ArrayList<>())
                    .addAll(made);
            results.put(stage, List.of());
        }
        return byService;
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
