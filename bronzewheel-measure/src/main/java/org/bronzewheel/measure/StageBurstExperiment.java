package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.List;

/**
 * An experiment on bursts of one route: what its callers and those of the other routes still get
 * from shared stage services.
 */
final class StageBurstExperiment {
    private static final String NAME = "bursts";
    private static final long BURST_MILLIS = 6_000;
    private static final double USUAL = 1;

    /** A burst that no division of the upstreams can serve. */
    private static final double PAST_CAPACITY = 6;

    /** The largest worth of a class that the gate of a site asks for on a day with such bursts. */
    private static final double TOKACHI_FLOOR = 0.44;

    private static final double IKAZE_FLOOR = 0.31;

    private StageBurstExperiment() {}

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        add(StageProfile.tokachi(), "itinerary-draft", 2.5, TOKACHI_FLOOR, seed, rows, targets);
        add(StageProfile.tokachi(), "pilot-brief", 2.5, TOKACHI_FLOOR, seed, rows, targets);
        add(StageProfile.ikaze(), "policy-digest", 2.4, IKAZE_FLOOR, seed, rows, targets);
        add(StageProfile.ikaze(), "staff-question", 2.6, IKAZE_FLOOR, seed, rows, targets);
        add(StageProfile.ikazeGrown(), "policy-digest", 3.24, IKAZE_FLOOR, seed, rows, targets);
        add(StageProfile.ikazeGrown(), "staff-question", 3.1, IKAZE_FLOOR, seed, rows, targets);
        add(StageProfile.tokachi(), "pilot-brief", PAST_CAPACITY, 0, seed, rows, targets);
        add(StageProfile.ikaze(), "policy-digest", PAST_CAPACITY, 0, seed, rows, targets);
        add(StageProfile.ikazeGrown(), "policy-digest", PAST_CAPACITY, 0, seed, rows, targets);
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    private static void add(
            StageProfile profile,
            String route,
            double factor,
            double floor,
            long seed,
            List<Row> rows,
            List<Target> targets) {
        Row row = row(profile, route, factor, seed);
        rows.add(row);
        targets.add(
                Target.atMost(
                        profile.name() + " callers that leave unanswered, " + row.fault(),
                        row.figures().get("left"),
                        0));
        for (int rank = 0; rank < profile.routes().size(); rank++) {
            targets.add(
                    Target.atLeast(
                            profile.name() + " worth of rank " + rank + ", " + row.fault(),
                            row.figures().get("worth " + rank),
                            floor));
        }
    }

    /** Returns the figures of owners of which a route has a burst from a quarter of the run on. */
    static Row row(StageProfile profile, String route, double factor, long seed) {
        StageBurst burst = new StageBurst(route, factor, StageExperiment.MILLIS / 4, BURST_MILLIS);
        String fault = "%s x%.1f".formatted(route, factor);
        return StageExperiment.row(
                profile, StageVariant.OWNER, USUAL, seed, fault, List.of(burst), List.of());
    }
}
