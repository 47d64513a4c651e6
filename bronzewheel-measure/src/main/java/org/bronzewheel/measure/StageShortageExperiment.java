package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bronzewheel.measure.StageProfile.StageRoute;

/**
 * An experiment on stage services that lose most of their upstreams for good: how the ranks that
 * share what is left are served.
 */
final class StageShortageExperiment {
    private static final String NAME = "shortage";
    private static final double USUAL = 1;
    private static final double BURST = 2.4;
    private static final long BURST_MILLIS = 6_000;

    /** A rank that is served less often than this part of all requests starves. */
    static final double LEAST_PART_OF_ALL = 0.25;

    /** By how much a rank may be served less often than a less urgent one. */
    static final double MOST_INVERSION = 0.05;

    /**
     * The worth of a class that the gate of a site asks for on the standard day on which upstreams
     * leave for good (trouble-3).
     */
    private static final double TOKACHI_FLOOR = 0.32;

    private static final double IKAZE_FLOOR = 0.23;

    private StageShortageExperiment() {}

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        StageProfile tokachi = StageProfile.tokachi();
        add(tokachi, "crew-roster", 2, TOKACHI_FLOOR, seed, rows, targets);
        add(tokachi, "crew-roster", 1, TOKACHI_FLOOR, seed, rows, targets);
        add(tokachi, "field-registry", 3, TOKACHI_FLOOR, seed, rows, targets);
        add(tokachi, "gift-shop", 3, TOKACHI_FLOOR, seed, rows, targets);
        StageProfile ikaze = StageProfile.ikaze();
        add(ikaze, "hr-sync", 2, IKAZE_FLOOR, seed, rows, targets);
        add(ikaze, "hr-sync", 3, IKAZE_FLOOR, seed, rows, targets);
        add(ikaze, "notify", 3, IKAZE_FLOOR, seed, rows, targets);
        add(StageProfile.ikazeGrown(), "hr-sync", 7, IKAZE_FLOOR, seed, rows, targets);
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    private static void add(
            StageProfile profile,
            String service,
            int lost,
            double floor,
            long seed,
            List<Row> rows,
            List<Target> targets) {
        Row laterRow = laterRow(profile, service, lost, seed);
        Row burstRow = burstRow(profile, service, lost, seed);
        rows.add(laterRow);
        rows.add(burstRow);
        String where = profile.name() + ", " + burstRow.fault();
        for (int rank = 0; rank < profile.routes().size(); rank++) {
            targets.add(
                    Target.atLeast(
                            "worth of rank %d, %s, %s"
                                    .formatted(rank, profile.name(), laterRow.fault()),
                            laterRow.figures().get("worth " + rank),
                            floor));
            targets.add(
                    Target.atLeast(
                            "answered of rank %d, %s".formatted(rank, where),
                            burstRow.figures().get("answered " + rank),
                            LEAST_PART_OF_ALL * burstRow.figures().get("answered")));
        }
        targets.add(
                Target.atMost(
                        "inversion, " + where,
                        inversion(profile, service, burstRow),
                        MOST_INVERSION));
    }

    /**
     * Returns by how much a rank is answered less often than a less urgent one that needs the same
     * service; negative where each is answered more often.
     */
    static double inversion(StageProfile profile, String service, Row row) {
        List<Integer> ranks =
                profile.routes().stream()
                        .filter(route -> isServedBy(route, service))
                        .map(StageRoute::priority)
                        .sorted()
                        .toList();
        double inversion = Double.NEGATIVE_INFINITY;
        for (int i = 1; i < ranks.size(); i++) {
            double urgent = row.figures().get("answered " + ranks.get(i - 1));
            double lessUrgent = row.figures().get("answered " + ranks.get(i));
            inversion = Math.max(inversion, lessUrgent - urgent);
        }
        return inversion;
    }

    private static boolean isServedBy(StageRoute route, String service) {
        return route.stages().stream().anyMatch(step -> step.service().equals(service));
    }

    /** Returns the figures of owners that lose upstreams a quarter of the run after its begin. */
    static Row laterRow(StageProfile profile, String service, int lost, long seed) {
        return row(
                profile,
                new StageLoss(service, lost, StageExperiment.MILLIS / 4),
                List.of(),
                "%s -%d".formatted(service, lost),
                seed);
    }

    /**
     * Returns the figures of owners that lose upstreams at the begin and have a burst of the most
     * urgent route that needs them.
     */
    static Row burstRow(StageProfile profile, String service, int lost, long seed) {
        StageRoute urgent =
                profile.routes().stream()
                        .filter(route -> isServedBy(route, service))
                        .min(Comparator.comparingInt(StageRoute::priority))
                        .orElseThrow();
        return row(
                profile,
                new StageLoss(service, lost, 0),
                List.of(
                        new StageBurst(
                                urgent.name(), BURST, StageExperiment.MILLIS / 4, BURST_MILLIS)),
                "%s -%d, %s x%.1f".formatted(service, lost, urgent.name(), BURST),
                seed);
    }

    private static Row row(
            StageProfile profile,
            StageLoss loss,
            List<StageBurst> bursts,
            String fault,
            long seed) {
        return StageExperiment.row(
                profile, StageVariant.OWNER, USUAL, seed, fault, bursts, List.of(loss));
    }
}
