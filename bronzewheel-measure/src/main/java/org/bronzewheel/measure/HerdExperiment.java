package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.budget.ObservedStageBudgets;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.policy.ChoiceRule;
import org.bronzewheel.policy.Dispatch;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.policy.PollResult;
import org.bronzewheel.policy.PoolPolicy;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.policy.StageRequest;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;

/** An experiment on how 390 routers spread calls over 600 workers on stale reports. */
final class HerdExperiment {
    private static final int ROUTERS = 390;
    private static final int WORKERS = 600;
    private static final int CONCURRENCY = 8;
    private static final double WIDE_HEADROOM = 4;
    private static final long DEADLINE_NANOS = 20_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Pipeline PIPELINE =
            new Pipeline("answer", List.of(new Stage("engine", "engine", true, "", "", 0)));
    private static final RequestClass CLASS = new RequestClass("standard", 1, 20_000, 0, 0);
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
    private final List<PoolPolicy<Integer>> routers = new ArrayList<>();
    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private long nextSequence;
    private double maxLoad;
    private double sumOfLoads;
    private double sumOfMaxToMean;
    private final Set<Integer> pollPending = new HashSet<>();
    private long refused;
    private long sent;
    private double waitedNanos;
    private long waiting;
    private int samples;

    private HerdExperiment(PolicySettings settings, ChoiceRule rule, long seed) {
        this.random = new SplittableRandom(seed);
        Pool pool = Profile.pool(PoolKind.MODEL_ENGINE, "engine", CONCURRENCY, true, WORKERS, 5);
        for (Upstream upstream : pool.upstreams()) {
            workers.put(upstream.name(), new FakeWorker(upstream, CONCURRENCY, loop));
        }
        for (int i = 0; i < ROUTERS; i++) {
            RouterPolicy<Integer> router =
                    new RouterPolicy<>("", ROUTERS, settings, new ObservedStageBudgets(), rule);
            router.setRouters(ROUTERS, i, 0);
            routers.add(router.pool(pool, 0));
        }
    }

    static ExperimentResult run(long seed) {
        PolicySettings usual = PolicySettings.defaults();
        PolicySettings wide = usual.withHeadroom(WIDE_HEADROOM).withRefusesInfeasible(false);
        List<Supplier<Row>> runs =
                List.of(
                        () -> row("full", usual, WorkerTable::choose, seed),
                        () -> row("choice-alone", wide, WorkerTable::choose, seed),
                        () -> row("lowest-report", wide, HerdExperiment::lowestReport, seed),
                        () -> row("random", wide, HerdExperiment::anyWorker, seed));
        List<Row> rows = runs.parallelStream().map(Supplier::get).toList();
        List<Target> targets =
                rows.subList(0, 2).stream()
                        .map(
                                row ->
                                        Target.atMost(
                                                "herd " + row.variant() + " largest load to mean",
                                                row.figures().get("maxToMean"),
                                                MAX_TO_MEAN))
                        .toList();
        return new ExperimentResult("herd", seed, rows, targets);
    }

    private static Row row(String name, PolicySettings settings, ChoiceRule rule, long seed) {
        HerdExperiment experiment = new HerdExperiment(settings, rule, seed);
        experiment.run();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("meanLoad", experiment.sumOfLoads / experiment.samples);
        figures.put("maxLoad", experiment.maxLoad);
        figures.put("maxToMean", experiment.sumOfMaxToMean / experiment.samples);
        figures.put("queued", (double) experiment.waiting / experiment.samples);
        figures.put("refused", (double) experiment.refused);
        figures.put("waitMillis", experiment.waitedNanos / NANOS_PER_MILLI / experiment.sent);
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
                    arrive(random.nextInt(ROUTERS));
                    nextArrival();
                });
    }

    private void arrive(int router) {
        StageRequest request =
                RouterPolicy.stageRequest(
                        PIPELINE, 0, CLASS, "workspace", loop.nowNanos() + DEADLINE_NANOS);
        if (routers.get(router).offer(router, request, loop.nowNanos()).isPresent()) {
            refused++;
        }
        poll(router);
    }

    private void poll(int router) {
        PoolPolicy<Integer> policy = routers.get(router);
        PollResult<Integer> poll = policy.poll(loop.nowNanos(), random);
        refused += poll.dropped().size();
        poll.dispatches().forEach(d -> send(router, d));
        if (policy.hasWaiting() && pollPending.add(router)) {
            loop.after(
                    PoolPolicy.POLL_INTERVAL_NANOS,
                    () -> {
                        pollPending.remove(router);
                        poll(router);
                    });
        }
    }

    private void send(int router, Dispatch<Integer> dispatch) {
        sent++;
        waitedNanos += dispatch.queuedNanos();
        double millis = -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS;
        Job job = new Job(0, nextSequence++, 0, millis, 0, done -> answer(router, dispatch));
        workers.get(dispatch.call().upstream().name()).submit(job);
    }

    private void answer(int router, Dispatch<Integer> dispatch) {
        PoolPolicy<Integer> policy = routers.get(router);
        policy.onEnd(dispatch.request(), dispatch.call(), Outcome.ANSWERED, loop.nowNanos());
        poll(router);
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
            loop.after(
                    REPORT_LAG_NANOS, () -> routers.forEach(r -> r.workers().onLoadReport(report)));
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
