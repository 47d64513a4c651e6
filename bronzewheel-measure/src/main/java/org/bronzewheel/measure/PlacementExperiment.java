package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.bronzewheel.measure.PlacementFleet.Evidence;

/**
 * An experiment on the placing of prompts: the share of requests within their objective before and
 * in a burst of long prompts, by what the routers know about the engines.
 */
final class PlacementExperiment {
    // Held here, as the log manager keeps only weak references to loggers.
    private static final Logger LOGS = Logger.getLogger("org.bronzewheel");
    private static final String NAME = "placement";

    /** Routers and engines of the small twin and of deployment B. */
    private static final Map<Integer, Integer> ENGINES_BY_ROUTERS =
            Map.of(16, PlacementFleet.SMALL_ENGINES, 76, PlacementFleet.FULL_ENGINES);

    private static final int SEEDS = 3;

    /** The factor by which the class with the longest prompts grows in the burst. */
    static final double BURST = 2.5;

    /** What the routers use, by the name of the variant. */
    static final Map<String, Set<Evidence>> VARIANTS = variants();

    private PlacementExperiment() {}

    private static Map<String, Set<Evidence>> variants() {
        Map<String, Set<Evidence>> variants = new LinkedHashMap<>();
        variants.put("own calls", Set.of());
        variants.put("speed", Set.of(Evidence.SPEED));
        variants.put("shared load", Set.of(Evidence.SHARED_LOAD));
        variants.put("reported load", Set.of(Evidence.REPORTED_LOAD));
        variants.put("speed, shared", Set.of(Evidence.SPEED, Evidence.SHARED_LOAD));
        variants.put("all", Set.of(Evidence.values()));
        return variants;
    }

    static ExperimentResult run(long seed) {
        LOGS.setLevel(Level.WARNING);
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (int routers : ENGINES_BY_ROUTERS.keySet().stream().sorted().toList()) {
            for (boolean unequal : List.of(false, true)) {
                List<Row> ofFleet = new ArrayList<>();
                VARIANTS.forEach(
                        (variant, evidence) ->
                                ofFleet.add(row(variant, routers, unequal, evidence, seed)));
                rows.addAll(ofFleet);
                Row before = ofFleet.get(0);
                Row after = ofFleet.get(ofFleet.size() - 1);
                before.figures()
                        .forEach(
                                (name, share) -> {
                                    if (!name.equals("reportB/s")) {
                                        targets.add(
                                                Target.atLeast(
                                                        routers + " routers, " + name,
                                                        after.figures().get(name),
                                                        share));
                                    }
                                });
            }
        }
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    private static Row row(
            String variant, int routers, boolean unequal, Set<Evidence> evidence, long seed) {
        Map<String, Double> figures = new LinkedHashMap<>();
        for (int i = 0; i < SEEDS; i++) {
            PlacementFleet fleet =
                    new PlacementFleet(
                            routers,
                            ENGINES_BY_ROUTERS.get(routers),
                            unequal,
                            BURST,
                            evidence,
                            seed + i);
            fleet.run();
            List<String> classes = List.of("long", "short", "middle");
            for (int c = 0; c < classes.size(); c++) {
                figures.merge("calm " + classes.get(c), fleet.calmShare(c) / SEEDS, Double::sum);
            }
            for (int c = 0; c < classes.size(); c++) {
                figures.merge("burst " + classes.get(c), fleet.burstShare(c) / SEEDS, Double::sum);
            }
            figures.merge("reportB/s", fleet.reportBytesPerSecond() / SEEDS, Double::sum);
        }
        return new Row(
                String.format(Locale.ROOT, "%d", routers),
                variant,
                BURST,
                unequal ? "unequal" : "equal",
                figures);
    }
}
