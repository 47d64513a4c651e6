package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The named experiments on the serving policies. */
public final class Experiments {
    private static final String URGENT = "urgent";
    private static final double USUAL_LOAD = 0.8;
    private static final double FULL_LOAD = 1.0;
    private static final double OVERLOAD = 2.0;
    static final double MIN_ATTAINMENT = 0.99;
    private static final double MIN_OVERLOAD_URGENT = 0.95;
    private static final double MIN_GOODPUT_PART = 0.9;
    private static final double MAX_EXTRA_COST = 0.05;
    private static final double MAX_COST_RATIO = 1.02;
    private static final double MAX_RECOVERY_SECONDS = 5;
    private static final List<Double> LOADS = List.of(0.5, 0.8, 1.0, 1.5, 2.0);

    private static final Map<String, LongFunction<ExperimentResult>> BY_NAME =
            new TreeMap<>(
                    Map.ofEntries(
                            Map.entry("load", Experiments::load),
                            Map.entry("faults", Experiments::faults),
                            Map.entry("baselines", Experiments::baselines),
                            Map.entry("ablations", Experiments::ablations),
                            Map.entry("herd", HerdExperiment::run),
                            Map.entry("stages", StageExperiment::run),
                            Map.entry("bursts", StageBurstExperiment::run),
                            Map.entry("shortage", StageShortageExperiment::run),
                            Map.entry("shedding", LoadSheddingExperiment::run),
                            Map.entry("leaving", LeavingExperiment::run),
                            Map.entry("limits", LimitExperiment::run),
                            Map.entry("placement", PlacementExperiment::run),
                            Map.entry("limited-engines", LimitExperiment::runEngines),
                            Map.entry("decision-cost", DecisionCost::run)));

    private Experiments() {}

    /**
     * Returns the names of the experiments.
     *
     * @return the names, sorted
     */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /**
     * Runs an experiment; the same seed gives the same result, but for {@code decision-cost}, which
     * measures real time.
     *
     * @param name one of {@link #names}
     * @param seed the seed of its randomness
     * @return the result
     * @throws BronzewheelException with code {@code INVALID_SETTING} for an unknown name
     */
    public static ExperimentResult run(String name, long seed) {
        LongFunction<ExperimentResult> experiment = BY_NAME.get(name);
        if (experiment == null) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, "no experiment " + name + "; there are " + names());
        }
        return experiment.apply(seed);
    }

    private static List<Profile> profiles() {
        return List.of(Profile.tokachi(), Profile.ikaze());
    }

    private static ExperimentResult load(long seed) {
        List<Case> cases = new ArrayList<>();
        for (Profile profile : profiles()) {
            LOADS.forEach(l -> cases.add(new Case(profile, Variants.full(), l, Fault.NONE)));
        }
        Map<Case, Tally> tallies = runAll(cases, seed);
        List<Target> targets = new ArrayList<>();
        for (Profile profile : profiles()) {
            Tally usual = find(tallies, profile, USUAL_LOAD);
            Tally full = find(tallies, profile, FULL_LOAD);
            Tally over = find(tallies, profile, OVERLOAD);
            String name = profile.name();
            targets.add(
                    Target.atLeast(
                            name + " 0.8 attainment of the worst class",
                            usual.worstAttainment(),
                            MIN_ATTAINMENT));
            targets.add(
                    Target.atLeast(
                            name + " 2.0 urgent attainment",
                            over.attainment(URGENT),
                            MIN_OVERLOAD_URGENT));
            targets.add(
                    Target.atLeast(
                            name + " goodput in requests at 2.0 relative to 1.0",
                            (double) over.attained() / full.attained(),
                            MIN_GOODPUT_PART));
            targets.add(
                    Target.atLeast(
                            name + " goodput in work at 2.0 relative to 1.0",
                            over.attainedWorkMillis() / full.attainedWorkMillis(),
                            MIN_GOODPUT_PART));
        }
        addExtraCost(tallies, targets);
        return result("load", seed, tallies, targets);
    }

    private static ExperimentResult faults(long seed) {
        Map<Case, Tally> tallies = runAll(faultCases(List.of(Variants.full())), seed);
        List<Target> targets = new ArrayList<>();
        tallies.forEach(
                (c, tally) -> {
                    targets.add(
                            Target.atLeast(
                                    c.label() + " urgent attainment",
                                    tally.attainment(URGENT),
                                    MIN_ATTAINMENT));
                    if (c.fault() == Fault.BURST) {
                        targets.add(
                                Target.atMost(
                                        c.label() + " seconds to recover",
                                        (double) tally.secondsToRecover(World.BURST_END_NANOS),
                                        MAX_RECOVERY_SECONDS));
                    }
                });
        addExtraCost(tallies, targets);
        return result("faults", seed, tallies, targets);
    }

    private static ExperimentResult baselines(long seed) {
        List<Variant> variants = new ArrayList<>(Variants.baselines());
        variants.add(0, Variants.full());
        Map<Case, Tally> tallies = runAll(allCases(variants), seed);
        List<Target> targets = new ArrayList<>();
        tallies.forEach(
                (c, tally) -> {
                    if (!c.variant().name().equals("full")) {
                        compare(c, tally, find(tallies, c), targets);
                    }
                });
        return result("baselines", seed, tallies, targets);
    }

    private static ExperimentResult ablations(long seed) {
        List<Variant> variants = new ArrayList<>(Variants.ablations());
        variants.add(0, Variants.full());
        return result("ablations", seed, runAll(allCases(variants), seed), List.of());
    }

    private static void compare(Case other, Tally baseline, Tally full, List<Target> targets) {
        String label = "full against " + other.label();
        targets.add(
                Target.atLeast(
                        label + " urgent attainment",
                        full.attainment(URGENT),
                        baseline.attainment(URGENT)));
        targets.add(
                Target.atLeast(label + " attainment", full.attainment(), baseline.attainment()));
        targets.add(
                Target.atMost(
                        label + " cost ratio",
                        full.costFactor() / baseline.costFactor(),
                        MAX_COST_RATIO));
    }

    private static List<Case> faultCases(List<Variant> variants) {
        List<Case> cases = new ArrayList<>();
        for (Profile profile : profiles()) {
            for (Fault fault : Fault.values()) {
                variants.forEach(v -> cases.add(new Case(profile, v, USUAL_LOAD, fault)));
            }
        }
        return cases;
    }

    private static List<Case> allCases(List<Variant> variants) {
        List<Case> cases = new ArrayList<>(faultCases(variants));
        for (Profile profile : profiles()) {
            for (double load : List.of(FULL_LOAD, 1.5, OVERLOAD)) {
                variants.forEach(v -> cases.add(new Case(profile, v, load, Fault.NONE)));
            }
        }
        return cases;
    }

    private static void addExtraCost(Map<Case, Tally> tallies, List<Target> targets) {
        tallies.forEach(
                (c, tally) ->
                        targets.add(
                                Target.atMost(
                                        c.label() + " extra cost",
                                        tally.extraCostPart(),
                                        MAX_EXTRA_COST)));
    }

    private static Tally find(Map<Case, Tally> tallies, Profile profile, double load) {
        return tallies.entrySet().stream()
                .filter(e -> e.getKey().profile().name().equals(profile.name()))
                .filter(e -> e.getKey().load() == load)
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow();
    }

    private static Tally find(Map<Case, Tally> tallies, Case other) {
        return tallies.entrySet().stream()
                .filter(e -> e.getKey().variant().name().equals("full"))
                .filter(e -> e.getKey().profile().name().equals(other.profile().name()))
                .filter(e -> e.getKey().load() == other.load())
                .filter(e -> e.getKey().fault() == other.fault())
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow();
    }

    private static Map<Case, Tally> runAll(List<Case> cases, long seed) {
        List<Tally> tallies = cases.parallelStream().map(c -> c.run(seed)).toList();
        Map<Case, Tally> byCase = new LinkedHashMap<>();
        for (int i = 0; i < cases.size(); i++) {
            byCase.put(cases.get(i), tallies.get(i));
        }
        return byCase;
    }

    private static ExperimentResult result(
            String name, long seed, Map<Case, Tally> tallies, List<Target> targets) {
        List<Row> rows = new ArrayList<>();
        tallies.forEach(
                (c, tally) ->
                        rows.add(
                                new Row(
                                        c.profile().name(),
                                        c.variant().name(),
                                        c.load(),
                                        c.fault().name(),
                                        figures(c.profile(), tally))));
        return new ExperimentResult(name, seed, rows, targets);
    }

    static Map<String, Double> figures(Profile profile, Tally tally) {
        Map<String, Double> figures = new LinkedHashMap<>();
        for (Kind kind : profile.kinds()) {
            String name = kind.requestClass().name();
            figures.put(name, tally.attainment(name));
        }
        for (End end : List.of(End.REFUSED, End.FAILED, End.LATE, End.LOST)) {
            figures.put("u" + end, (double) tally.ended(URGENT, end));
        }
        figures.put("all", tally.attainment());
        figures.put("workPerSec", tally.attainedWorkMillis() / 40_000);
        figures.put("cost", tally.costFactor());
        figures.put("hedge", tally.costMillis(CostKind.HEDGE) / tally.totalCostMillis());
        figures.put("retry", tally.costMillis(CostKind.RETRY) / tally.totalCostMillis());
        figures.put("late", tally.costMillis(CostKind.LATE) / tally.totalCostMillis());
        return figures;
    }
}
