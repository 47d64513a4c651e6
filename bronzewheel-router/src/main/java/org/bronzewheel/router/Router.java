package org.bronzewheel.router;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.execution.Execution;
import org.bronzewheel.frontdoor.FrontDoor;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.service.Service;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.Vm;

/** A router: one process on a VM, or a part of a larger program. */
public final class Router implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long REFRESH_SECONDS = 1;
    private static final long DRAIN_MARGIN_MILLIS = 5_000;

    private final RouterSettings settings;
    private final Scheduler scheduler = Schedulers.computation();
    private final LongSupplier nanoClock = System::nanoTime;
    private final RouterMetrics metrics = new RouterMetrics();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Peer self;
    private final Vertx vertx;
    private final Tracing tracing;
    private final UpstreamView upstreamView;
    private final UpstreamClients clients;
    private final Fleet fleet;
    private final Execution execution;
    private final LoadPoller loadPoller;
    private final FrontDoor frontDoor;
    private final StatusReport statusReport;
    private volatile RouterState state = RouterState.STARTING;

    /**
     * Creates a router that does nothing yet.
     *
     * @param settings its settings
     */
    public Router(RouterSettings settings) {
        this.settings = settings;
        this.self = new Peer(settings.vmId(), System.currentTimeMillis());
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.eventLoops()));
        this.tracing =
                Tracing.create(settings.vmId(), settings.failureDomain(), settings.otlpEndpoint());
        this.upstreamView = new UpstreamView(nanoClock, this::refresh);
        this.clients = new UpstreamClients(vertx, settings, upstreamView);
        this.fleet =
                new Fleet(
                        settings,
                        self,
                        clients.platform(),
                        clients.control(),
                        scheduler,
                        nanoClock);
        this.execution = createExecution();
        this.loadPoller =
                new LoadPoller(
                        clients.control(),
                        execution,
                        fleet.configurations()::current,
                        settings.loadPollMillis(),
                        scheduler,
                        nanoClock);
        this.statusReport = new StatusReport(self, settings.failureDomain(), execution, metrics);
        this.frontDoor =
                new FrontDoor(
                        vertx,
                        settings.host(),
                        settings.httpPort(),
                        execution.requests(),
                        fleet.configurations(),
                        this::isReady,
                        this::status,
                        metrics,
                        tracing,
                        scheduler);
        registerGauges();
    }

    private Execution createExecution() {
        return new Execution(
                settings.failureDomain(),
                policySettings(),
                clients,
                fleet.transport(),
                fleet.configurations(),
                fleet.membership(),
                fleet.claims(),
                fleet.answers(),
                metrics,
                tracing,
                scheduler,
                nanoClock,
                new SplittableRandom(self.incarnation()));
    }

    private PolicySettings policySettings() {
        PolicySettings usual = PolicySettings.defaults();
        return new PolicySettings(
                usual.routing(),
                settings.maxQueuedPerClass(),
                usual.refusesInfeasible(),
                usual.headroom(),
                usual.firstPriorityHeadroom(),
                usual.hedgeQuantile(),
                usual.maxAttempts(),
                usual.retriesPerSuccess(),
                usual.maxSavedRetries(),
                usual.maxSavedExtraCostNanos());
    }

    private void registerGauges() {
        metrics.gauge(RouterMetrics.IN_PROGRESS, () -> execution.requests().runningCount());
        metrics.gauge(RouterMetrics.READY, () -> isReady() ? 1 : 0);
        metrics.gauge(
                RouterMetrics.CONFIGURATION_REVISION,
                () -> fleet.configurations().current().map(Configuration::revision).orElse(0L));
        metrics.gauge(
                RouterMetrics.CONFIGURATION_REFUSALS,
                () -> fleet.configurations().refusals().size());
        metrics.gauge(
                RouterMetrics.VM_LIST_REVISION,
                () -> fleet.membership().current().list().revision());
    }

    @Override
    public void start() {
        tracing.start();
        clients.start();
        fleet.start();
        subscriptions.add(fleet.configurations().changes().subscribe(c -> refresh()));
        subscriptions.add(fleet.membership().changes().subscribe(v -> refresh()));
        subscriptions.add(
                scheduler.schedulePeriodicallyDirect(
                        this::refresh, REFRESH_SECONDS, REFRESH_SECONDS, TimeUnit.SECONDS));
        loadPoller.start();
        frontDoor.start();
        state = RouterState.SERVING;
        logger.atInfo().log("router started, incarnation %d", self.incarnation());
    }

    /** Tells the execution which upstreams there are and which of them are leaving. */
    private void refresh() {
        fleet.configurations()
                .current()
                .ifPresent(
                        configuration ->
                                execution.update(configuration, leaving(), listedRouters()));
    }

    private Set<String> leaving() {
        return fleet.configurations()
                .current()
                .map(c -> upstreamView.leaving(c, fleet.membership().current().list()))
                .orElse(Set.of());
    }

    private List<String> listedRouters() {
        return fleet.membership().current().list().routers().stream().map(Vm::vmId).toList();
    }

    /**
     * Returns the port for callers and operators.
     *
     * @return the port, known after the start
     */
    public int httpPort() {
        return frontDoor.port();
    }

    /**
     * Tells whether the router reports ready to the balancer.
     *
     * @return true with a configuration, a VM list, open ports and a vote on new keys, until a
     *     planned stop begins
     */
    public boolean isReady() {
        MembershipView view = fleet.membership().current();
        return state == RouterState.SERVING
                && fleet.configurations().current().isPresent()
                && view.list().revision() > 0
                && fleet.claims().isWarm();
    }

    private String status() {
        return statusReport.write(
                state, fleet.configurations(), fleet.membership().current(), leaving());
    }

    /**
     * Stops as planned: unready first, then no new requests, then each request in progress to its
     * end, then the hand-over of claims and answers, then out of the fleet.
     */
    @Override
    public void stop() {
        synchronized (this) {
            if (state == RouterState.DRAINING || state == RouterState.STOPPED) {
                return;
            }
            state = RouterState.DRAINING;
        }
        logger.atInfo().log("planned stop begins");
        sleep(settings.balancerWaitMillis());
        long drainMillis = longestDeadlineMillis() + DRAIN_MARGIN_MILLIS;
        await(execution.drain(), drainMillis, "requests");
        // A caller may still wait for a request that another router holds.
        await(frontDoor.drained(), drainMillis, "exchanges with callers");
        await(
                fleet.claims().handOver(settings.handOverMillis()).ignoreElement(),
                settings.handOverMillis(),
                "hand-over of claims");
        await(
                fleet.answers().handOver(settings.handOverMillis()),
                settings.handOverMillis(),
                "hand-over of answers");
        fleet.membership().announceLeaving();
        frontDoor.stop();
        close();
        logger.atInfo().log("planned stop ended");
    }

    /** Ends at once like a process that is killed: connections close, nothing is handed over. */
    public void kill() {
        synchronized (this) {
            if (state == RouterState.STOPPED) {
                return;
            }
            state = RouterState.STOPPED;
        }
        fleet.kill();
        close();
    }

    private void close() {
        state = RouterState.STOPPED;
        subscriptions.dispose();
        loadPoller.stop();
        fleet.stop();
        clients.stop();
        tracing.stop();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private long longestDeadlineMillis() {
        return fleet.configurations().current().stream()
                .flatMap(c -> c.rules().requestClasses().stream())
                .mapToLong(RequestClass::deadlineMillis)
                .max()
                .orElse(0);
    }

    private static void await(Completable work, long timeoutMillis, String what) {
        boolean done = work.onErrorComplete().blockingAwait(timeoutMillis, TimeUnit.MILLISECONDS);
        if (!done) {
            logger.atWarning().log("planned stop goes on without the end of: %s", what);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
