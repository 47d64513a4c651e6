package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An experiment on sharing the upstreams of stage services: batching on each router alone, turns by
 * time, and one owner a service, at three loads, and the death of an owner.
 */
final class StageExperiment {
    private static final String NAME = "stages";
    private static final long MILLIS = 40_000;
    private static final double USUAL = 1;
    private static final double OWNER_DIES_LOAD = 1;
    private static final List<Double> LOADS = List.of(USUAL, 1.7, 2.5);
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final double MIN_ANSWERED_DESPITE_DEATH = 0.97;

    private StageExperiment() {}

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (StageProfile profile : List.of(StageProfile.tokachi(), StageProfile.ikaze())) {
            for (double load : LOADS) {
                Map<StageVariant, Row> byVariant = new LinkedHashMap<>();
                for (StageVariant variant :
                        List.of(StageVariant.ALONE, StageVariant.TURNS, StageVariant.OWNER)) {
                    byVariant.put(variant, row(profile, variant, load, seed));
                }
                rows.addAll(byVariant.values());
                String where = profile.name() + " at " + load + " worth, owner against alone";
                targets.add(
                        Target.atLeast(
                                where,
                                figure(byVariant.get(StageVariant.OWNER), "worth"),
                                figure(byVariant.get(StageVariant.ALONE), "worth")));
            }
            Row dies = row(profile, StageVariant.OWNER_DIES, OWNER_DIES_LOAD, seed);
            rows.add(dies);
            targets.add(
                    Target.atLeast(
                            profile.name() + " answered though an owner dies",
                            figure(dies, "answered"),
                            MIN_ANSWERED_DESPITE_DEATH));
        }
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    private static double figure(Row row, String name) {
        return row.figures().get(name);
    }

    static Row row(StageProfile profile, StageVariant variant, double load, long seed) {
        StageFleet fleet = new StageFleet(profile, variant, seed);
        fleet.run(load, MILLIS);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("pcs/call", fleet.piecesPerCall());
        figures.put("busy s/ans", fleet.busySecondsPerAnswer());
        figures.put("p50 ms", fleet.latencyMillis(MEDIAN));
        figures.put("p99 ms", fleet.latencyMillis(TAIL));
        figures.put("on time", fleet.onTimeShare());
        figures.put("rank 0", fleet.onTimeShare(0));
        figures.put("rank 1", fleet.onTimeShare(1));
        figures.put("rank 2", fleet.onTimeShare(2));
        figures.put("worth", fleet.worthShare());
        figures.put("answered", fleet.answeredShare());
        figures.put("refused", fleet.refusedShare());
        figures.put("failed", fleet.failedShare());
        figures.put("MB cross", fleet.crossingMegabytesPerAnswer());
        figures.put("remade", fleet.remadeShare());
        String fault = variant == StageVariant.OWNER_DIES ? "owner dies" : "none";
        return new Row(
                profile.name(), variant.name().toLowerCase(Locale.ROOT), load, fault, figures);
    }
}
