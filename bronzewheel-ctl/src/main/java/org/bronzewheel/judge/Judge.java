package org.bronzewheel.judge;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;
import org.bronzewheel.standin.ExpectedAnswers;
import org.bronzewheel.standin.Run;
import org.bronzewheel.standin.RunState;
import org.bronzewheel.traffic.RequestResult;

/**
 * A judge of a load: it compares what callers got with the answers that their inputs must give and
 * with the runs that the upstreams recorded. It takes nothing from the routers' own counters.
 */
public final class Judge {
    private final Configuration configuration;

    /**
     * Creates a judge.
     *
     * @param configuration the pipelines that the load used
     */
    public Judge(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Judges a load.
     *
     * @param results what callers got
     * @param runs what upstreams ran; without them, only the callers' side is judged
     * @return the verdict
     */
    public Verdict judge(List<RequestResult> results, List<Run> runs) {
        RunIndex index = new RunIndex(runs);
        Map<String, ClassCounts> byClass = new LinkedHashMap<>();
        for (RequestClass requestClass : configuration.rules().requestClasses()) {
            byClass.put(requestClass.name(), ClassCounts.NONE);
        }
        Map<String, StageCost> cost = new TreeMap<>();
        List<Violation> violations = new ArrayList<>();
        for (RequestResult result : results) {
            RequestJudgement judgement = judge(result, index);
            violations.addAll(judgement.violations());
            byClass.merge(
                    result.request().kind().requestClass(), judgement.counts(), ClassCounts::plus);
            addCost(cost, pipeline(result), index.ofNonce(result.request().nonce()));
        }
        ClassCounts total = byClass.values().stream().reduce(ClassCounts.NONE, ClassCounts::plus);
        return new Verdict(total, byClass, cost, List.copyOf(violations));
    }

    private RequestJudgement judge(RequestResult result, RunIndex index) {
        Pipeline pipeline = pipeline(result);
        JsonNode expected =
                ExpectedAnswers.answer(
                        configuration.inventory(), pipeline, result.request().input());
        return new RequestJudgement(result, pipeline, expected, index);
    }

    private Pipeline pipeline(RequestResult result) {
        return configuration.rules().pipeline(result.request().kind().pipeline()).orElseThrow();
    }

    private static void addCost(Map<String, StageCost> cost, Pipeline pipeline, List<Run> runs) {
        for (Run run : runs) {
            int stageIndex = RunIndex.stageIndex(run);
            List<Stage> stages = pipeline.stages();
            boolean known = stageIndex >= 0 && stageIndex < stages.size();
            String name = known ? stages.get(stageIndex).name() : run.pool();
            boolean cancelled = run.state() == RunState.CANCELLED;
            StageCost before = cost.getOrDefault(name, StageCost.NONE);
            cost.put(name, before.plus(run.usage(), cancelled));
        }
    }
}
