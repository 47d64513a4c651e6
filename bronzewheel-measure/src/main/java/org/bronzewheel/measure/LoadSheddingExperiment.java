package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.measure.StageProfile.StageRoute;

/**
 * An experiment on bursts at stage services whose callers are of two workspaces: what is on time,
 * late and refused with and without load shedding by cost to callers, by rank and by size.
 */
final class LoadSheddingExperiment {
    static final int WORKSPACES = 2;

    /** A burst that makes requests late, but that the upstreams serve. */
    static final double BURST = 2.5;

    /** A burst that the upstreams cannot serve. */
    static final double PAST_CAPACITY = 6;

    private static final String NAME = "shedding";
    private static final long BURST_MILLIS = 6_000;
    private static final double USUAL = 1;

    /** The least load, at which nothing waits for long. */
    private static final double QUIET = 0.4;

    /**
     * By how much a share on time may be lower: in a run, a rank has some hundred requests, so that
     * a few requests that arrive at another moment of a call make a hundredth.
     */
    static final double MAX_LOSS = 0.01;

    private LoadSheddingExperiment() {}

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (StageProfile deployment :
                List.of(
                        StageProfile.uneven(),
                        StageProfile.tokachi(),
                        StageProfile.ikaze(),
                        StageProfile.ikazeGrown())) {
            StageProfile profile = deployment.withWorkspaces(WORKSPACES);
            for (double factor : List.of(BURST, PAST_CAPACITY)) {
                Row without = burstRow(profile, StageVariant.OWNER, factor, seed);
                Row with = burstRow(profile, StageVariant.OWNER_SHEDS, factor, seed);
                rows.add(without);
                rows.add(with);
                for (int rank = 0; rank < profile.routes().size(); rank++) {
                    targets.add(
                            Target.atLeast(
                                    "on time of rank %d, %s, %s"
                                            .formatted(rank, profile.name(), with.fault()),
                                    with.figures().get("rank " + rank),
                                    without.figures().get("rank " + rank) - MAX_LOSS));
                }
            }
            rows.add(quietRow(profile, StageVariant.OWNER, seed));
            rows.add(quietRow(profile, StageVariant.OWNER_SHEDS, seed));
        }
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    /** Returns the figures where all routes have a burst from a quarter of the run on. */
    static Row burstRow(StageProfile profile, StageVariant variant, double factor, long seed) {
        List<StageBurst> bursts =
                profile.routes().stream()
                        .map(StageRoute::name)
                        .map(
                                route ->
                                        new StageBurst(
                                                route,
                                                factor,
                                                StageExperiment.MILLIS / 4,
                                                BURST_MILLIS))
                        .toList();
        return StageExperiment.row(
                profile,
                variant,
                USUAL,
                seed,
                "all routes x%.1f".formatted(factor),
                bursts,
                List.of());
    }

    /** Returns the figures at a load at which nothing is late. */
    static Row quietRow(StageProfile profile, StageVariant variant, long seed) {
        return StageExperiment.row(profile, variant, QUIET, seed);
    }
}
