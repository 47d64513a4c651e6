package org.bronzewheel.judge;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** The JSON form of a verdict. */
public final class VerdictJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double ROUNDING = 10_000;

    private VerdictJson() {}

    /**
     * Writes a verdict.
     *
     * @param verdict the verdict
     * @return counts over all classes, attainment by class, counts by class and cost by stage
     */
    public static ObjectNode of(Verdict verdict) {
        ObjectNode json = counts(verdict.total());
        ObjectNode attainment = json.putObject("attainment");
        ObjectNode classes = json.putObject("classes");
        for (Map.Entry<String, ClassCounts> entry : verdict.byClass().entrySet()) {
            attainment.put(entry.getKey(), rounded(entry.getValue().attainment()));
            classes.set(entry.getKey(), counts(entry.getValue()));
        }
        json.set("cost", MAPPER.valueToTree(verdict.cost()));
        return json;
    }

    private static ObjectNode counts(ClassCounts counts) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("sent", counts.sent());
        json.put("answered", counts.answered());
        json.put("notRun", counts.notRun());
        json.put("failed", counts.failed());
        json.put("unknown", counts.unknown());
        json.put("lost", counts.lost());
        json.put("doubled", counts.doubled());
        json.put("misrouted", counts.misrouted());
        json.put("nonIdempotentRunsOverOne", counts.nonIdempotentRunsOverOne());
        json.put("notRunButRan", counts.notRunButRan());
        return json;
    }

    private static double rounded(double share) {
        return Math.round(share * ROUNDING) / ROUNDING;
    }
}
