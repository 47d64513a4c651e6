package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.policy.ChoiceRule;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.routing.RoutingSettings;
import org.bronzewheel.routing.WorkerTable;

/** An experiment on how 390 routers spread calls over 600 workers on stale reports. */
final class HerdExperiment {
    private static final int ROUTERS = 390;
    private static final int WORKERS = 600;
    private static final int CONCURRENCY = 8;
    private static final double LOAD = 0.8;
    private static final double SERVICE_MILLIS = 600;
    private static final long REPORT_INTERVAL_NANOS = 1_000_000_000L;
    private static final long REPORT_LAG_NANOS = 500_000_000L;
    private static final long SAMPLE_INTERVAL_NANOS = 50_000_000L;
    private static final long START_NANOS = 5_000_000_000L;
    private static final long END_NANOS = 15_000_000_000L;
    private static final double MAX_TO_MEAN = 2.5;

    private final EventLoop loop = new EventLoop();
    private final SplittableRandom random;
    private final ChoiceRule rule;
    private final List<WorkerTable> routers = new ArrayList<>();
    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private long nextSequence;
    private double maxLoad;
    private double sumOfLoads;
    private double sumOfMaxToMean;
    private long waiting;
    private int samples;

    private HerdExperiment(ChoiceRule rule, long seed) {
        this.rule = rule;
        this.random = new SplittableRandom(seed);
        Pool pool = Profile.pool(PoolKind.MODEL_ENGINE, "engine", CONCURRENCY, true, WORKERS, 5);
        for (Upstream upstream : pool.upstreams()) {
            workers.put(upstream.name(), new FakeWorker(upstream, CONCURRENCY, loop));
        }
        for (int i = 0; i < ROUTERS; i++) {
            WorkerTable table = new WorkerTable(CONCURRENCY, ROUTERS, RoutingSettings.defaults());
            pool.upstreams().forEach(u -> table.add(u, false, 0));
            routers.add(table);
        }
    }

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        rows.add(row("full", () -> WorkerTable::choose, seed));
        rows.add(row("lowest-report", () -> HerdExperiment::lowestReport, seed));
        rows.add(row("random", () -> HerdExperiment::anyWorker, seed));
        double measured = rows.get(0).figures().get("maxToMean");
        Target target =
                Target.atMost("herd largest load relative to the mean", measured, MAX_TO_MEAN);
        return new ExperimentResult("herd", seed, rows, List.of(target));
    }

    private static Row row(String name, Supplier<ChoiceRule> rule, long seed) {
        HerdExperiment experiment = new HerdExperiment(rule.get(), seed);
        experiment.run();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("meanLoad", experiment.sumOfLoads / experiment.samples);
        figures.put("maxLoad", experiment.maxLoad);
        figures.put("maxToMean", experiment.sumOfMaxToMean / experiment.samples);
        figures.put("queued", (double) experiment.waiting / experiment.samples);
        return new Row("390x600", name, LOAD, Fault.NONE.name(), figures);
    }

    private void run() {
        nextArrival();
        report();
        loop.after(START_NANOS, this::sample);
        loop.runUntil(END_NANOS);
    }

    private void nextArrival() {
        double ratePerMilli = LOAD * WORKERS * CONCURRENCY / SERVICE_MILLIS;
        loop.afterMillis(
                -Math.log(1 - random.nextDouble()) / ratePerMilli,
                () -> {
                    arrive(routers.get(random.nextInt(ROUTERS)));
                    nextArrival();
                });
    }

    private void arrive(WorkerTable table) {
        ChoiceContext wide = new ChoiceContext(Set.of(), "", 0, false, 4);
        Optional<Upstream> chosen = rule.choose(table, wide, loop.nowNanos(), random);
        if (chosen.isEmpty()) {
            return;
        }
        OpenCall call = table.onStart(chosen.get(), loop.nowNanos());
        double millis = -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS;
        Job job =
                new Job(
                        0,
                        nextSequence++,
                        0,
                        millis,
                        0,
                        done -> table.onEnd(call, Outcome.ANSWERED, 1, loop.nowNanos()));
        workers.get(chosen.get().name()).submit(job);
    }

    private void report() {
        for (FakeWorker worker : workers.values()) {
            long observed = loop.nowNanos();
            LoadReport report =
                    new LoadReport(
                            worker.upstream.name(),
                            worker.busy(),
                            worker.queued(),
                            nextSequence++,
                            observed);
            loop.after(REPORT_LAG_NANOS, () -> routers.forEach(r -> r.onLoadReport(report)));
        }
        loop.after(REPORT_INTERVAL_NANOS, this::report);
    }

    private void sample() {
        double sum = 0;
        double max = 0;
        for (FakeWorker worker : workers.values()) {
            double load = worker.busy() + worker.queued();
            waiting += worker.queued();
            sum += load;
            max = Math.max(max, load);
        }
        double mean = sum / WORKERS;
        sumOfLoads += mean;
        sumOfMaxToMean += max / mean;
        maxLoad = Math.max(maxLoad, max);
        samples++;
        loop.after(SAMPLE_INTERVAL_NANOS, this::sample);
    }

    private static Optional<Upstream> lowestReport(
            WorkerTable table, ChoiceContext context, long now, RandomGenerator random) {
        return table.members().stream()
                .map(u -> Map.entry(table.estimatedLoad(u.name(), now), u))
                .min(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue);
    }

    private static Optional<Upstream> anyWorker(
            WorkerTable table, ChoiceContext context, long now, RandomGenerator random) {
        List<Upstream> members = table.members();
        return Optional.of(members.get(random.nextInt(members.size())));
    }
}
