package org.bronzewheel.overhead;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bronzewheel.router.Router;
import org.bronzewheel.router.RouterSettings;
import org.bronzewheel.standin.Ledger;
import org.bronzewheel.standin.PlainServiceStandIn;
import org.bronzewheel.standin.PlatformStandIn;
import org.bronzewheel.standin.UpstreamSettings;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** A measurement of one router before one plain service, all in this process. */
public final class RouterOverhead {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int STAND_IN_WORKERS = 512;
    private static final int STAND_IN_QUEUE = 4_096;
    private static final long POLL_MILLIS = 50;
    private static final long BALANCER_WAIT_MILLIS = 0;
    private static final String RULES =
            """
            requestClasses:
              - {name: page, deadlineMillis: 10000}
            pipelines:
              - name: page
                stages:
                  - {name: load, pool: portal, path: /pages}
            """;
    private static final String INVENTORY =
            """
            regions:
              - {name: north, failureDomains: [north-a]}
            pools:
              - name: portal
                kind: PLAIN_SERVICE
                concurrencyPerUpstream: 512
                upstreams:
                  - {name: portal-1, vmId: vm-portal-1, address: "%s", failureDomain: north-a}
            workspaces:
              - name: portal
            """;

    private final Vertx vertx = Vertx.vertx();
    private final PlatformStandIn platform = new PlatformStandIn(vertx, LOOPBACK, 0);
    private final PlainServiceStandIn service =
            new PlainServiceStandIn(
                    vertx,
                    UpstreamSettings.of("portal", "portal-1")
                            .withCapacity(STAND_IN_WORKERS, STAND_IN_QUEUE, 0),
                    false,
                    new Ledger());
    private Router router;

    private RouterOverhead() {}

    /**
     * Runs the measurement.
     *
     * @param settings its size
     * @return the report
     */
    public static OverheadReport run(OverheadSettings settings) {
        RouterOverhead overhead = new RouterOverhead();
        overhead.start();
        try {
            return overhead.measure(settings);
        } finally {
            overhead.stop();
        }
    }

    private void start() {
        service.start();
        platform.start();
        platform.publishConfiguration(INVENTORY.formatted(service.address()), RULES);
        RouterSettings settings =
                RouterSettings.of(
                                "vm-1",
                                "north-a",
                                LOOPBACK,
                                0,
                                0,
                                platform.address(),
                                platform.address())
                        .withBalancerWaitMillis(BALANCER_WAIT_MILLIS);
        platform.publishVms(List.of(vm("vm-1", VmRole.ROUTER), vm("vm-portal-1", VmRole.UPSTREAM)));
        router = new Router(settings);
        router.start();
        while (!router.isReady()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    private static Vm vm(String vmId, VmRole role) {
        return new Vm(vmId, role, VmState.LIVE, "north-a", LOOPBACK + ":1", LOOPBACK + ":1");
    }

    private void stop() {
        router.stop();
        platform.stop();
        service.stop();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private OverheadReport measure(OverheadSettings settings) {
        HttpClient client =
                vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(settings.concurrency()));
        PhaseCost warmUp = new PhaseCost();
        runRound(client, settings, warmUp, warmUp);
        PhaseCost direct = new PhaseCost();
        PhaseCost routed = new PhaseCost();
        for (int i = 0; i < settings.rounds(); i++) {
            runRound(client, settings, direct, routed);
        }
        return new OverheadReport(
                OverheadReport.Summary.of(direct), OverheadReport.Summary.of(routed));
    }

    private void runRound(
            HttpClient client, OverheadSettings settings, PhaseCost direct, PhaseCost routed) {
        int calls = settings.callsPerRound();
        new ClosedLoop(client, directTarget(), calls, direct).run(settings.concurrency());
        new ClosedLoop(client, routedTarget(), calls, routed).run(settings.concurrency());
    }

    private CallTarget directTarget() {
        String address = service.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        return new CallTarget(
                port,
                "/pages",
                Map.of(
                        "X-Bronzewheel-Attempt", "vm-0.1.1/0/1",
                        "X-Bronzewheel-Workspace", "portal",
                        "X-Bronzewheel-Priority", "0",
                        "X-Bronzewheel-Deadline-Millis", "10000",
                        "Content-Type", "application/json"));
    }

    private CallTarget routedTarget() {
        return new CallTarget(
                router.httpPort(),
                "/v1/pipelines/page",
                Map.of(
                        "X-Bronzewheel-Workspace", "portal",
                        "X-Bronzewheel-Class", "page",
                        "Content-Type", "application/json"));
    }
}
