package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.routing.LoadReport;

/** One run of a profile under a variant, a load and a fault. */
final class World {
    static final long SECOND_NANOS = 1_000_000_000L;
    static final long WINDOW_START_NANOS = 10 * SECOND_NANOS;
    static final long FAULT_START_NANOS = 20 * SECOND_NANOS;
    static final long FAULT_END_NANOS = 40 * SECOND_NANOS;
    static final long BURST_END_NANOS = 25 * SECOND_NANOS;
    static final long WINDOW_END_NANOS = 50 * SECOND_NANOS;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MILLI_NANOS = 1e6;
    private static final long HEALTH_CHECK_NANOS = SECOND_NANOS;
    private static final double REPORT_INTERVAL_MILLIS = 200;
    private static final double REPORT_LAG_MILLIS = 100;
    private static final double BAD_REPORT_LAG_MILLIS = 2000;
    private static final double CACHE_EVENT_LAG_MILLIS = 300;
    private static final double CACHE_EVENT_LOSS = 0.2;
    private static final double WITHIN_DOMAIN_MILLIS = 0.05;
    private static final double BURST_LOAD = 2;
    private static final int PREFIXES_PER_WORKSPACE = 8;
    private static final double NOISE_SPREAD = 0.15;
    private static final double STRAGGLER_PART = 0.005;
    private static final double STRAGGLER_FACTOR = 4;
    private static final String CUT_DOMAIN = "domain-1";

    final Profile profile;
    final Variant variant;
    final EventLoop loop = new EventLoop();
    final Tally tally;

    private final double load;
    private final Fault fault;
    private final SplittableRandom arrivals;
    private final SplittableRandom noise;
    private final List<FakeRouter> routers = new ArrayList<>();
    private final Map<String, FakeWorker> workers = new TreeMap<>();
    private long nextSequence;
    private boolean cut;

    World(Profile profile, Variant variant, double load, Fault fault, long seed) {
        this.profile = profile;
        this.variant = variant;
        this.load = load;
        this.fault = fault;
        this.tally = new Tally(profile);
        SplittableRandom root = new SplittableRandom(seed);
        this.arrivals = root.split();
        this.noise = root.split();
        for (Pool pool : profile.pools()) {
            for (Upstream upstream : pool.upstreams()) {
                addWorker(pool, upstream);
            }
        }
        for (int i = 0; i < profile.routers(); i++) {
            String domain = "domain-" + i % profile.failureDomains();
            RouterPolicy<Running> policy =
                    new RouterPolicy<>(
                            domain,
                            profile.routers(),
                            variant.settings(),
                            variant.budgets().get(),
                            variant.rule().get());
            policy.setRouters(profile.routers(), i, 0);
            routers.add(new FakeRouter(this, domain, policy, root.split()));
        }
    }

    Tally run() {
        profile.kinds().forEach(this::nextArrival);
        if (variant.reports()) {
            report();
        }
        loop.after(FAULT_START_NANOS, this::beginFault);
        loop.after(FAULT_END_NANOS, this::endFault);
        loop.runUntil(WINDOW_END_NANOS + 40 * SECOND_NANOS);
        return tally;
    }

    FakeWorker worker(String name) {
        return workers.get(name);
    }

    long nextSequence() {
        return nextSequence++;
    }

    double callNoise() {
        double straggler = noise.nextDouble() < STRAGGLER_PART ? STRAGGLER_FACTOR : 1;
        double mean = 1 + STRAGGLER_PART * (STRAGGLER_FACTOR - 1);
        return lognormal(noise, NOISE_SPREAD) * straggler / mean;
    }

    /** Delivers a message between a router and a worker, in either direction. */
    void send(FakeRouter router, FakeWorker worker, Runnable delivery) {
        boolean sameDomain = router.failureDomain.equals(worker.upstream.failureDomain());
        if (!sameDomain && isCut(router.failureDomain, worker.upstream.failureDomain())) {
            return;
        }
        double millis = sameDomain ? WITHIN_DOMAIN_MILLIS : profile.betweenDomainsMillis();
        loop.afterMillis(millis, delivery);
    }

    void ended(FakeRouter router, Request request, End end) {
        if (cut && router.failureDomain.equals(CUT_DOMAIN)) {
            tally.end(request, End.LOST, loop.nowNanos());
            return;
        }
        long atClientNanos = loop.nowNanos() + (long) (profile.toClientsMillis() * MILLI_NANOS);
        tally.end(request, end, atClientNanos);
    }

    private boolean isCut(String one, String other) {
        return cut && (one.equals(CUT_DOMAIN) || other.equals(CUT_DOMAIN));
    }

    private void addWorker(Pool pool, Upstream upstream) {
        FakeWorker worker = new FakeWorker(upstream, pool.concurrencyPerUpstream(), loop);
        if (variant.prefixes()) {
            worker.onStored = prefix -> stored(pool.name(), upstream.name(), prefix);
        }
        workers.put(upstream.name(), worker);
    }

    private void stored(String pool, String upstream, long prefix) {
        for (FakeRouter router : routers) {
            if (noise.nextDouble() >= CACHE_EVENT_LOSS) {
                loop.afterMillis(
                        CACHE_EVENT_LAG_MILLIS,
                        () -> router.pool(pool).workers().onPrefixStored(upstream, prefix));
            }
        }
    }

    private void nextArrival(Kind kind) {
        boolean burst =
                fault == Fault.BURST
                        && loop.nowNanos() >= FAULT_START_NANOS
                        && loop.nowNanos() < BURST_END_NANOS;
        double rate = profile.ratePerSecond(kind) * (burst ? BURST_LOAD : load);
        double gapMillis = -Math.log(1 - arrivals.nextDouble()) / rate * MILLIS_PER_SECOND;
        loop.afterMillis(
                gapMillis,
                () -> {
                    if (loop.nowNanos() < WINDOW_END_NANOS) {
                        arrive(kind);
                        nextArrival(kind);
                    }
                });
    }

    private void arrive(Kind kind) {
        int workspace = drawWorkspace();
        String name = profile.workspaces().get(workspace).name();
        double size = lognormal(arrivals, kind.spread());
        long prefix =
                kind.prefillPercent() == 0
                        ? 0
                        : 1
                                + (long) workspace * PREFIXES_PER_WORKSPACE
                                + arrivals.nextInt(PREFIXES_PER_WORKSPACE);
        Request request = new Request(kind, name, loop.nowNanos(), size, prefix);
        double choice = arrivals.nextDouble();
        tally.arrived(request);
        FakeRouter router = balance(choice);
        loop.afterMillis(
                profile.toClientsMillis(),
                () -> {
                    if (router.dead || (cut && router.failureDomain.equals(CUT_DOMAIN))) {
                        tally.end(request, End.LOST, loop.nowNanos());
                    } else {
                        router.take(request);
                    }
                });
    }

    private int drawWorkspace() {
        int drawn = arrivals.nextInt(100);
        int index = 0;
        for (int sum = profile.workspaces().get(0).weight(); sum <= drawn; ) {
            index++;
            sum += profile.workspaces().get(index).weight();
        }
        return index;
    }

    /** The platform's balancer: a dead router refuses, a cut off one is found by health checks. */
    private FakeRouter balance(double choice) {
        boolean found = loop.nowNanos() >= FAULT_START_NANOS + HEALTH_CHECK_NANOS;
        List<FakeRouter> usable =
                routers.stream()
                        .filter(r -> !r.dead)
                        .filter(r -> !(cut && found && r.failureDomain.equals(CUT_DOMAIN)))
                        .toList();
        return usable.get((int) (choice * usable.size()));
    }

    private void report() {
        boolean bad = fault == Fault.BAD_REPORTS && faultLasts();
        for (Pool pool : profile.pools()) {
            if (pool.reportsLoad()) {
                pool.upstreams().forEach(u -> report(pool, workers.get(u.name()), bad));
            }
        }
        if (loop.nowNanos() < WINDOW_END_NANOS) {
            loop.afterMillis(REPORT_INTERVAL_MILLIS, this::report);
        }
    }

    private void report(Pool pool, FakeWorker worker, boolean bad) {
        int busy = worker.busy();
        int queued = worker.queued();
        long sequence = nextSequence++;
        double lagMillis = bad ? BAD_REPORT_LAG_MILLIS : REPORT_LAG_MILLIS;
        for (FakeRouter router : routers) {
            if (worker.refuses || (bad && noise.nextBoolean())) {
                continue;
            }
            loop.afterMillis(
                    lagMillis,
                    () -> {
                        long observed = loop.nowNanos() - (long) (REPORT_LAG_MILLIS * MILLI_NANOS);
                        LoadReport report =
                                new LoadReport(
                                        worker.upstream.name(), busy, queued, sequence, observed);
                        router.pool(pool.name()).workers().onLoadReport(report);
                    });
        }
    }

    private boolean faultLasts() {
        return loop.nowNanos() >= FAULT_START_NANOS && loop.nowNanos() < FAULT_END_NANOS;
    }

    private void beginFault() {
        switch (fault) {
            case SLOW_WORKER -> worker("engine-1").speed = 0.1;
            case HUNG_WORKER -> worker("engine-1").speed = 0;
            case HALF_POOL -> setHalfRefuses(true);
            case ROUTER_KILLED -> kill(routers.get(0));
            case DOMAIN_CUT -> cut = true;
            default -> {}
        }
    }

    private void endFault() {
        worker("engine-1").speed = 1;
        setHalfRefuses(false);
        cut = false;
    }

    private void setHalfRefuses(boolean refuses) {
        int half = profile.pool("engine").upstreams().size() / 2;
        for (int i = 1; i <= half; i++) {
            worker("engine-" + i).refuses = refuses;
        }
    }

    private void kill(FakeRouter router) {
        router.dead = true;
        routers.stream().filter(r -> !r.dead).forEach(r -> r.routersAre(profile.routers() - 1));
    }

    private static double lognormal(SplittableRandom random, double spread) {
        return Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }
}
