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
    static final long MILLIS = 40_000;
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
        String fault = variant == StageVariant.OWNER_DIES ? "owner dies" : "none";
        return row(profile, variant, load, seed, fault, List.of(), List.of());
    }

    static Row row(
            StageProfile profile,
            StageVariant variant,
            double load,
            long seed,
            String fault,
            List<StageBurst> bursts,
            List<StageLoss> losses) {
        StageFleet fleet = new StageFleet(profile, variant, seed);
        fleet.run(load, MILLIS, bursts, losses);
        return row(profile, variant, load, fault, fleet);
    }

    /** Returns the figures where the engines take a part of the usual load, and say so. */
    static Row limitedRow(StageProfile profile, double part, long seed) {
        StageFleet fleet = new StageFleet(profile, StageVariant.OWNER, seed);
        fleet.limitEngines(part);
        fleet.run(1, MILLIS, List.of(), List.of());
        return row(profile, StageVariant.OWNER, 1, "engines take %.1f".formatted(part), fleet);
    }

    private static Row row(
            StageProfile profile,
            StageVariant variant,
            double load,
            String fault,
            StageFleet fleet) {
        StageTally tally = fleet.tally();
        StageUpstreams upstreams = fleet.upstreams();
        double answers = Math.max(1, tally.answers());
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("pcs/call", upstreams.piecesPerCall());
        figures.put("busy s/ans", upstreams.busySeconds() / answers);
        figures.put("p50 ms", tally.latencyMillis(MEDIAN));
        figures.put("p99 ms", tally.latencyMillis(TAIL));
        figures.put("on time", tally.onTimeShare());
        for (int rank = 0; rank < profile.routes().size(); rank++) {
            figures.put("rank " + rank, tally.onTimeShare(rank));
            figures.put("worth " + rank, tally.worthShare(rank));
            figures.put("answered " + rank, tally.answeredShare(rank));
            figures.put("refused " + rank, tally.refusedShare(rank));
        }
        figures.put("on time small", tally.onTimeShareOfSize(false));
        figures.put("on time large", tally.onTimeShareOfSize(true));
        figures.put("answered small", tally.answeredShareOfSize(false));
        figures.put("answered large", tally.answeredShareOfSize(true));
        figures.put("worth", tally.worthShare());
        figures.put("answered", tally.answeredShare());
        figures.put("refused", tally.refusedShare());
        figures.put("held", tally.heldShare());
        figures.put("failed", tally.failedShare());
        figures.put("left", tally.leftShare());
        figures.put("MB cross", upstreams.crossingMegabytes() / answers);
        figures.put("remade", upstreams.remadeShare());
        return new Row(
                profile.name(), variant.name().toLowerCase(Locale.ROOT), load, fault, figures);
    }
}
