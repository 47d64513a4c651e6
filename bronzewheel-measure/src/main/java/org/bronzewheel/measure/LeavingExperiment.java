package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * An experiment on upstreams that say they leave while the store is silent: what reaches them after
 * their end in fleets of several sizes, where routers tell each other of it and where they do not,
 * and what telling costs.
 */
final class LeavingExperiment {
    // Held here, as the log manager keeps only weak references to loggers.
    private static final Logger LOGS = Logger.getLogger("org.bronzewheel");
    private static final String NAME = "leaving";
    private static final List<Integer> SIZES = List.of(6, 91, 390);
    private static final double LEAVING_PART = 0.1;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long AFTER_MILLIS = 10_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double USUAL = 1;

    /** The part of what reaches ended upstreams that may be left where routers tell each other. */
    static final double MOST_LEFT_BY_TELLING = 0.2;

    /** The most that telling may add to the signs of life, in kilobytes a second and router. */
    static final double MOST_ADDED_KILOBYTES = 5;

    private LeavingExperiment() {}

    static ExperimentResult run(long seed) {
        LOGS.setLevel(Level.WARNING);
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (int size : SIZES) {
            Row alone = row(size, false, seed);
            Row telling = row(size, true, seed);
            rows.add(alone);
            rows.add(telling);
            targets.add(
                    Target.atMost(
                            size + " routers, sent to ended upstreams",
                            telling.figures().get("afterEnd"),
                            Math.max(1, MOST_LEFT_BY_TELLING * alone.figures().get("afterEnd"))));
            targets.add(
                    Target.atMost(
                            size + " routers, kilobytes a second that telling adds",
                            telling.figures().get("kBPerSec") - alone.figures().get("kBPerSec"),
                            MOST_ADDED_KILOBYTES));
        }
        return new ExperimentResult(NAME, seed, rows, targets);
    }

    static Row row(int size, boolean tellsOthers, long seed) {
        LeavingFleet fleet = new LeavingFleet(size, tellsOthers, seed);
        int leaving = Math.max(1, (int) (LEAVING_PART * fleet.upstreams()));
        double kilobytes = fleet.kilobytesPerRouter();
        fleet.leave(leaving, DRAIN_MILLIS);
        fleet.advance(DRAIN_MILLIS + AFTER_MILLIS);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("leaving", (double) leaving);
        figures.put("sent", (double) fleet.sent());
        figures.put("afterEnd", (double) fleet.sentAfterEnd());
        figures.put(
                "kBPerSec",
                (fleet.kilobytesPerRouter() - kilobytes)
                        / ((DRAIN_MILLIS + AFTER_MILLIS) / MILLIS_PER_SECOND));
        return new Row(
                Integer.toString(size),
                tellsOthers ? "told" : "alone",
                USUAL,
                "store away",
                figures);
    }
}
