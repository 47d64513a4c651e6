package org.bronzewheel.demo;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.judge.EndCodes;
import org.bronzewheel.judge.Judge;
import org.bronzewheel.judge.Verdict;
import org.bronzewheel.standin.Run;
import org.bronzewheel.traffic.Balancer;
import org.bronzewheel.traffic.LoadRunner;
import org.bronzewheel.traffic.PlannedRequest;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.RouterCaller;
import org.bronzewheel.traffic.TrafficMix;
import org.bronzewheel.traffic.TrafficPlan;
import org.bronzewheel.traffic.TrafficSettings;

/**
 * The demo: three routers in three failure domains under a mixed load, while one router is killed
 * and started again, an upstream leaves and another router stops as planned.
 */
public final class Demo {
    private static final String KILLED = "vm-1";
    private static final String DRAINED = "vm-2";
    private static final String STEADY = "vm-3";
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long READY_CHECK_MILLIS = 50;
    private static final long RESTART_MILLIS = 1_000;
    private static final long PROGRESS_PERIOD_MILLIS = 2_000;
    private static final long LEAVING_GRACE_MILLIS = 3_000;
    private static final int MAX_DESCRIBED = 10;
    private static final double KILL_AT = 0.25;
    private static final double LEAVE_AT = 0.45;
    private static final double DRAIN_AT = 0.6;

    private final TrafficSettings settings;
    private final PrintStream progress;
    private final Vertx vertx;
    private final DemoCluster cluster;
    private final Configuration configuration;
    private final Balancer balancer;
    private final AtomicInteger ended = new AtomicInteger();
    private final long beganNanos = System.nanoTime();
    private String drainedAddress = "";
    private volatile String leavingUpstream = "";
    private volatile long leftAtMillis;

    private Demo(
            Vertx vertx,
            DemoCluster cluster,
            Balancer balancer,
            TrafficSettings settings,
            PrintStream progress) {
        this.vertx = vertx;
        this.cluster = cluster;
        this.balancer = balancer;
        this.settings = settings;
        this.progress = progress;
        this.configuration = cluster.configuration();
    }

    /**
     * Runs the demo.
     *
     * @param document inventory and rules; each upstream is replaced by a stand-in
     * @param settings the load
     * @param mix the kinds of requests
     * @param progress receives progress lines
     * @return what it showed
     * @throws BronzewheelException where the routers don't become ready
     */
    public static DemoReport run(
            ConfigurationDocument document,
            TrafficSettings settings,
            TrafficMix mix,
            PrintStream progress) {
        Vertx vertx = Vertx.vertx();
        DemoCluster cluster = new DemoCluster(vertx, document);
        Balancer balancer = new Balancer(vertx, List.of());
        cluster.start();
        balancer.start();
        try {
            return new Demo(vertx, cluster, balancer, settings, progress).run(mix);
        } finally {
            balancer.stop();
            cluster.stop();
            vertx.close().onFailure(e -> progress.println(e.getMessage()));
        }
    }

    private DemoReport run(TrafficMix mix) {
        startRouters();
        mix.check(configuration.rules());
        List<PlannedRequest> requests =
                new TrafficPlan(configuration, mix, settings, System.currentTimeMillis())
                        .requests();
        say(requests.size() + " requests of all request classes go to the routers in turn");
        List<RequestResult> results = sendDuringFailures(requests);
        say("all requests have ended; judging them by what upstreams and callers saw");
        Verdict verdict = new Judge(configuration).judge(results, cluster.runs());
        return new DemoReport(
                verdict,
                EndCodes.of(results),
                EndCodes.describe(results, MAX_DESCRIBED),
                cutOffByPlannedStop(results),
                runsAfterLeaving());
    }

    private void startRouters() {
        List<String> domains =
                configuration.inventory().regions().stream()
                        .flatMap(region -> region.failureDomains().stream())
                        .toList();
        List<String> vmIds = List.of(KILLED, DRAINED, STEADY);
        for (int i = 0; i < vmIds.size(); i++) {
            String address = cluster.startRouter(vmIds.get(i), domains.get(i % domains.size()));
            balancer.add(address);
            if (vmIds.get(i).equals(DRAINED)) {
                drainedAddress = address;
            }
        }
        waitUntilReady();
        say("three routers are ready in three failure domains");
    }

    private void waitUntilReady() {
        long waitedMillis = 0;
        while (!cluster.allReady()) {
            if (waitedMillis > READY_TIMEOUT_MILLIS) {
                throw new BronzewheelException(
                        ErrorCode.NOT_READY, "the routers did not become ready");
            }
            sleep(READY_CHECK_MILLIS);
            waitedMillis += READY_CHECK_MILLIS;
        }
    }

    private List<RequestResult> sendDuringFailures(List<PlannedRequest> requests) {
        LoadRunner runner =
                new LoadRunner(
                        new RouterCaller(vertx), balancer, result -> ended.incrementAndGet());
        Single<List<RequestResult>> results = runner.run(requests).cache();
        var progressTimer =
                Schedulers.io()
                        .schedulePeriodicallyDirect(
                                () -> say(ended.get() + " requests have ended"),
                                PROGRESS_PERIOD_MILLIS,
                                PROGRESS_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
        Completable failures =
                Completable.mergeArray(
                        at(KILL_AT, this::killAndRestart),
                        at(LEAVE_AT, this::letUpstreamLeave),
                        at(DRAIN_AT, this::drain));
        try {
            return results.zipWith(failures.toSingleDefault(true), (all, done) -> all)
                    .blockingGet();
        } finally {
            progressTimer.dispose();
        }
    }

    private Completable at(double share, Runnable action) {
        long delayMillis = (long) (settings.durationMillis() * share);
        return Completable.timer(delayMillis, TimeUnit.MILLISECONDS, Schedulers.io())
                .andThen(Completable.fromRunnable(action).subscribeOn(Schedulers.io()));
    }

    private void killAndRestart() {
        say("killing router " + KILLED + " without notice");
        cluster.kill(KILLED);
        sleep(RESTART_MILLIS);
        cluster.restart(KILLED);
        say("router " + KILLED + " was started again, without memory");
    }

    private void letUpstreamLeave() {
        for (Pool pool : configuration.inventory().pools()) {
            if (pool.kind() == PoolKind.MODEL_ENGINE && pool.upstreams().size() > 1) {
                Upstream last = pool.upstreams().get(pool.upstreams().size() - 1);
                say("upstream " + last.name() + " leaves");
                leftAtMillis = System.currentTimeMillis();
                leavingUpstream = last.name();
                cluster.leave(last);
                return;
            }
        }
    }

    private void drain() {
        say("planned stop of router " + DRAINED);
        cluster.drain(DRAINED);
        say("router " + DRAINED + " has stopped");
    }

    private int cutOffByPlannedStop(List<RequestResult> results) {
        List<Reply> replies = new ArrayList<>();
        results.forEach(r -> r.lines().forEach(line -> replies.addAll(line.replies())));
        return (int)
                replies.stream()
                        .filter(reply -> reply.router().equals(drainedAddress))
                        .filter(reply -> reply.kind() == ReplyKind.BROKEN)
                        .count();
    }

    private int runsAfterLeaving() {
        long fromMillis = leftAtMillis + LEAVING_GRACE_MILLIS;
        return (int)
                cluster.runs().stream()
                        .filter(run -> run.upstream().equals(leavingUpstream))
                        .mapToLong(Run::startedAtMillis)
                        .filter(startedAtMillis -> startedAtMillis > fromMillis)
                        .count();
    }

    private void say(String message) {
        double seconds = (System.nanoTime() - beganNanos) / 1e9;
        progress.printf("[%5.1f s] %s%n", seconds, message);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
