package org.bronzewheel.judge;

import java.util.Map;

/** The readable form of a verdict. */
public final class VerdictTable {
    private static final String CLASS_ROW = "%-13s %6s %8s %6s %6s %7s %5s %7s %9s %8s %10s%n";
    private static final String STAGE_ROW = "%-13s %6s %9s %12s %12s %16s%n";
    private static final double HUNDRED_PERCENT = 100;

    private VerdictTable() {}

    /**
     * Writes a table by request class and one by stage.
     *
     * @param verdict the verdict
     * @return several lines
     */
    public static String of(Verdict verdict) {
        StringBuilder text = new StringBuilder();
        text.append(
                CLASS_ROW.formatted(
                        "class",
                        "sent",
                        "answered",
                        "notRun",
                        "failed",
                        "unknown",
                        "lost",
                        "doubled",
                        "misrouted",
                        "overOne",
                        "attainment"));
        verdict.byClass().forEach((name, counts) -> text.append(row(name, counts)));
        text.append(row("all", verdict.total())).append(System.lineSeparator());
        text.append(
                STAGE_ROW.formatted(
                        "stage",
                        "runs",
                        "cancelled",
                        "workerMillis",
                        "promptTokens",
                        "completionTokens"));
        for (Map.Entry<String, StageCost> entry : verdict.cost().entrySet()) {
            StageCost cost = entry.getValue();
            text.append(
                    STAGE_ROW.formatted(
                            entry.getKey(),
                            cost.runs(),
                            cost.cancelled(),
                            cost.workerMillis(),
                            cost.promptTokens(),
                            cost.completionTokens()));
        }
        return text.toString();
    }

    private static String row(String name, ClassCounts counts) {
        return CLASS_ROW.formatted(
                name,
                counts.sent(),
                counts.answered(),
                counts.notRun(),
                counts.failed(),
                counts.unknown(),
                counts.lost(),
                counts.doubled(),
                counts.misrouted(),
                counts.nonIdempotentRunsOverOne(),
                "%.1f%%".formatted(counts.attainment() * HUNDRED_PERCENT));
    }
}
