package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.transport.Channel;

/**
 * An experiment on limits that upstreams name: what reaches an upstream from fleets of several
 * sizes, calm and with routers that die, what it costs, and what callers get where all engines name
 * limits.
 */
final class LimitExperiment {
    private static final String NAME = "limits";
    private static final List<Integer> SIZES = List.of(6, 9, 91, 390);
    private static final List<Double> LIMITS = List.of(0.0, 0.3, 1.0, 20.0, 250.0);
    private static final long RUN_MILLIS = 30_000;
    private static final long SPREAD_MILLIS = 5_000;
    private static final double DEMAND_FACTOR = 3;
    private static final double LEAST_DEMAND_PER_SECOND = 8;
    private static final double USUAL = 1;

    /** The part of a limit that is to be used while more than that is asked for. */
    static final double LEAST_USE = 0.8;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String ENGINES_NAME = "limited-engines";
    private static final List<Double> ENGINE_PARTS = List.of(2.0, 0.9, 0.5, 0.3);

    /** The share of requests that may be refused later than at once. */
    static final double MOST_HELD = 0.05;

    private LimitExperiment() {}

    /** Returns the requests that a limit allows in any window: half more than it says, and 5. */
    static double allowedInWindow(double limitPerSecond) {
        return 1.5 * limitPerSecond * LimitFleet.WINDOW_MILLIS / MILLIS_PER_SECOND + 5;
    }

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (int size : SIZES) {
            for (double limit : LIMITS) {
                add(row(size, limit, false, seed), limit, rows, targets);
            }
            add(row(size, 1, true, seed), 1, rows, targets);
            add(row(size, 20, true, seed), 20, rows, targets);
        }
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    /** Runs whole requests with stages where the engines take a part of the usual load. */
    static ExperimentResult runEngines(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (StageProfile profile : List.of(StageProfile.tokachi(), StageProfile.ikaze())) {
            for (double part : ENGINE_PARTS) {
                Row row = StageExperiment.limitedRow(profile, part, seed);
                rows.add(row);
                addEngineTargets(row, profile, targets);
            }
        }
        return new ExperimentResult(ENGINES_NAME, seed, rows, targets);
    }

    private static void addEngineTargets(Row row, StageProfile profile, List<Target> targets) {
        String name = profile.name() + ", " + row.fault();
        targets.add(
                Target.atMost(
                        name + ", refusals that came late", row.figures().get("held"), MOST_HELD));
        for (int rank = 0; rank < profile.routes().size(); rank++) {
            targets.add(
                    Target.atLeast(
                            name + ", answered of rank " + rank,
                            row.figures().get("answered " + rank),
                            StageShortageExperiment.LEAST_PART_OF_ALL
                                    * row.figures().get("answered")));
        }
    }

    private static void add(Row row, double limit, List<Row> rows, List<Target> targets) {
        rows.add(row);
        String name = "%s routers, limit %s, %s".formatted(row.profile(), limit, row.fault());
        targets.add(
                Target.atMost(
                        name + ", requests in the worst window",
                        row.figures().get("worst4s"),
                        allowedInWindow(limit)));
        if (limit >= 1 && row.fault().equals("none")) {
            targets.add(
                    Target.atLeast(
                            name + ", use of the limit", row.figures().get("use"), LEAST_USE));
        }
    }

    /**
     * Returns the figures of a fleet, in which the keeper dies half way where that is asked for.
     */
    static Row row(int size, double limit, boolean keeperDies, long seed) {
        double demand = Math.max(LEAST_DEMAND_PER_SECOND, DEMAND_FACTOR * limit);
        LimitFleet fleet = new LimitFleet(size, limit, demand, seed);
        fleet.advance(SPREAD_MILLIS);
        double beatsBefore = fleet.kilobytesPerRouter(Channel.MEMBERSHIP);
        double beatsMillis = fleet.nowMillis();
        fleet.nameLimit();
        fleet.advance(SPREAD_MILLIS);
        long sinceMillis = fleet.nowMillis();
        double messages = fleet.messagesPerRouter(Channel.LOAD);
        double kilobytes = fleet.kilobytesPerRouter(Channel.LOAD);
        double beats = fleet.kilobytesPerRouter(Channel.MEMBERSHIP);
        fleet.advance(RUN_MILLIS / 2);
        if (keeperDies) {
            fleet.kill(fleet.keeper());
        }
        fleet.advance(RUN_MILLIS / 2);
        double seconds = RUN_MILLIS / MILLIS_PER_SECOND;
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("worst4s", (double) fleet.worstWindow());
        figures.put("allowed", allowedInWindow(limit));
        figures.put("perSecond", fleet.perSecondSince(sinceMillis));
        figures.put("use", limit > 0 ? fleet.perSecondSince(sinceMillis) / limit : 0);
        figures.put("wait99", fleet.waitMillis99());
        figures.put("msgPerSec", (fleet.messagesPerRouter(Channel.LOAD) - messages) / seconds);
        figures.put("kBPerSec", (fleet.kilobytesPerRouter(Channel.LOAD) - kilobytes) / seconds);
        figures.put("beatKBBefore", beatsBefore / (beatsMillis / MILLIS_PER_SECOND));
        figures.put("beatKB", (fleet.kilobytesPerRouter(Channel.MEMBERSHIP) - beats) / seconds);
        return new Row(
                Integer.toString(size),
                "limit " + limit,
                USUAL,
                keeperDies ? "keeper dies" : "none",
                figures);
    }
}
