package org.bronzewheel.measure;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.measure.StageProfile.StageRoute;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.PeerPermits;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.serving.CallerExchange;
import org.bronzewheel.serving.CallerRequest;
import org.bronzewheel.serving.Header;
import org.bronzewheel.serving.Refusal;
import org.bronzewheel.serving.RequestObserver;
import org.bronzewheel.serving.RequestOutcome;
import org.bronzewheel.serving.ResponseMemory;
import org.bronzewheel.serving.RunningRequest;
import org.bronzewheel.serving.ServingContext;
import org.bronzewheel.serving.ServingEngine;
import org.bronzewheel.serving.UpstreamCall;
import org.bronzewheel.serving.UpstreamHead;
import org.bronzewheel.serving.UpstreamListener;
import org.bronzewheel.stages.SharedStages;
import org.bronzewheel.stages.StageDependencies;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/** A fleet of routers that serve requests with stages, in virtual time. */
final class StageFleet {
    private static final String ENGINE = "engine";
    private static final int ENGINES = 6;
    private static final long ENGINE_MILLIS = 150;
    private static final long TICK_MILLIS = 100;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long TURN_MILLIS = 500;
    private static final long PATIENCE_AFTER_MILLIS = 20_000;
    private static final double REPEAT_SLACK = 52;
    private static final int OK = 200;
    private static final int RETURNS = 1;

    /** A refusal that takes longer than this part of the objective comes late. */
    private static final int OBJECTIVES_PER_HOLD = 8;

    private final StageProfile profile;
    private final StageVariant variant;
    private final SplittableRandom random;
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final StageUpstreams upstreams;
    private final List<Router> routers = new ArrayList<>();
    private final StageTally tally = new StageTally();
    private Optional<Router> dead = Optional.empty();
    private AnnouncedLimit engineLimit = AnnouncedLimit.NONE;

    StageFleet(StageProfile profile, StageVariant variant, long seed) {
        this.profile = profile;
        this.variant = variant;
        this.random = new SplittableRandom(seed);
        this.upstreams = new StageUpstreams(profile, loop);
        List<UpstreamEntry> entries = new ArrayList<>(upstreams.entries());
        for (int i = 0; i < ENGINES; i++) {
            entries.add(
                    new UpstreamEntry(
                            ENGINE + "-" + i,
                            ENGINE,
                            "10.0.0.2:80",
                            failureDomain(i),
                            1_000,
                            0,
                            false));
        }
        for (int i = 0; i < profile.routers(); i++) {
            routers.add(new Router(i, entries));
        }
    }

    /** Lets each engine name a limit, so that all take a part of the usual load together. */
    void limitEngines(double part) {
        double usual = profile.routes().stream().mapToDouble(StageRoute::requestsPerSecond).sum();
        engineLimit = AnnouncedLimit.of(part * usual / ENGINES);
    }

    private String failureDomain(int index) {
        return profile.failureDomains().get(index % profile.failureDomains().size());
    }

    /**
     * Serves requests for a while and returns once all had their deadlines.
     *
     * @param load the usual load, as a multiple of the profile's
     * @param millis the time during which requests arrive, in milliseconds
     * @param bursts the further requests
     * @param losses the upstreams that leave meanwhile
     */
    void run(double load, long millis, List<StageBurst> bursts, List<StageLoss> losses) {
        routers.forEach(Router::start);
        scheduler.advanceTimeBy(WARM_UP_MILLIS, TimeUnit.MILLISECONDS);
        profile.routes().forEach(route -> arrivals(route, "", load, 0, millis));
        for (StageBurst burst : bursts) {
            arrivals(
                    profile.route(burst.route()),
                    "burst-" + burst.fromMillis() + "-",
                    burst.factor() - 1,
                    burst.fromMillis(),
                    burst.fromMillis() + burst.millis());
        }
        for (StageLoss loss : losses) {
            loop.after(
                    loss.atMillis(), () -> routers.forEach(router -> router.forgetUpstreams(loss)));
        }
        if (variant == StageVariant.OWNER_DIES) {
            loop.after(millis / 2, this::killOwner);
        }
        scheduler.advanceTimeBy(millis + PATIENCE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void arrivals(
            StageRoute route, String prefix, double load, long fromMillis, long untilMillis) {
        double perMilli = load * route.requestsPerSecond() / 1_000;
        double atMillis = fromMillis;
        for (int number = 0; atMillis < untilMillis; number++) {
            atMillis -= Math.log(1 - random.nextDouble()) / perMilli;
            String id = route.name() + "/" + prefix + number;
            Router router = routers.get(random.nextInt(routers.size()));
            List<Integer> pieces = pieces(route);
            loop.after(Math.round(atMillis), () -> ask(router, route, id, pieces));
        }
    }

    /** Draws numbers of pieces evenly up to twice the mean; a mean below 1 leaves stages out. */
    private List<Integer> pieces(StageRoute route) {
        List<Integer> pieces = new ArrayList<>();
        for (double mean : route.meanPieces()) {
            boolean fixed = mean == Math.rint(mean) && mean < 6;
            pieces.add(fixed ? (int) mean : (int) Math.round(random.nextDouble() * 2 * mean));
        }
        return pieces;
    }

    private void killOwner() {
        Router victim =
                routers.stream().max(Comparator.comparingInt(Router::ownedServices)).orElseThrow();
        peers.silence(victim.vmId);
        victim.ticks.dispose();
        dead = Optional.of(victim);
    }

    private void ask(Router router, StageRoute route, String id, List<Integer> pieces) {
        if (dead.filter(d -> d == router).isPresent()) {
            return;
        }
        tally.asked(route, route.isLarge(pieces));
        new Caller(route, id, pieces).attempt(router, 1);
    }

    StageTally tally() {
        return tally;
    }

    StageUpstreams upstreams() {
        return upstreams;
    }

    private List<ServiceRoute> serviceRoutes() {
        return profile.routes().stream()
                .map(
                        route ->
                                new ServiceRoute(
                                        route.name(),
                                        "h",
                                        "/" + route.name() + "/",
                                        false,
                                        RetryRule.IDEMPOTENT,
                                        route.deadlineMillis(),
                                        route.objectiveMillis(),
                                        0,
                                        route.callerSilenceMillis(),
                                        route.priority(),
                                        2,
                                        List.of(new ServiceShare(ENGINE, 1)),
                                        route.stages(),
                                        true))
                .toList();
    }

    private Catalog catalog() {
        List<ServiceEntry> services = new ArrayList<>();
        services.add(new ServiceEntry(ENGINE, 0, Optional.empty(), Optional.empty()));
        profile.pools()
                .forEach(
                        pool ->
                                services.add(
                                        new ServiceEntry(
                                                pool.service(),
                                                0,
                                                Optional.of(pool.limits()),
                                                Optional.empty())));
        return new Catalog(
                1,
                serviceRoutes(),
                services,
                CallerAccess.withKeys(workspaces()),
                new CallerLimits(1, 1, 1, 1));
    }

    /**
     * Returns workspaces that enable load shedding; the requests are those of open routes, so that
     * their order is that of the priorities of the routes in all variants.
     */
    private List<WorkspaceEntry> workspaces() {
        return variant == StageVariant.OWNER_SHEDS
                ? List.of(
                        new WorkspaceEntry("first", List.of("first"), OptionalInt.of(0)),
                        new WorkspaceEntry("second", List.of("second"), OptionalInt.of(1)))
                : List.of();
    }

    /** One router, without its sockets. */
    private final class Router {
        private final int index;
        private final String vmId;
        private final UpstreamTable table = new UpstreamTable(0);
        private final List<UpstreamEntry> entries;
        private final SeedMembership membership;
        private final HeartbeatService network;
        private final PeerPermits permits;
        private final SharedStages shared;
        private final CompositeDisposable ticks = new CompositeDisposable();
        private final ServingEngine engine;

        Router(int index, List<UpstreamEntry> entries) {
            this.index = index;
            this.vmId = "vm-" + index;
            this.entries = entries;
            PeerTransport transport = peers.add(vmId);
            membership =
                    new SeedMembership(
                            vmId, 1, List.of("vm-0", "vm-1"), 12, random.split(), loop.nowMillis());
            SharedRetryBudget budget =
                    new SharedRetryBudget(0.2, REPEAT_SLACK, 10_000, profile.routers());
            CatalogState catalog = new CatalogState(Long.MAX_VALUE);
            catalog.applyIfNewer(catalog());
            catalog.confirm(1, loop.now());
            table.replaceAll(entries, 0);
            permits = new PeerPermits(transport, membership, table, loop);
            shared =
                    new StageDependencies(
                                    catalog,
                                    table,
                                    permits,
                                    upstreams,
                                    transport,
                                    membership,
                                    budget,
                                    loop)
                            .build();
            network =
                    new HeartbeatService(
                            transport,
                            membership,
                            loop,
                            shared::ownBacklogs,
                            shared::submitters,
                            shared::receiveBacklog,
                            table.announcements(),
                            ProgressExchange.NONE);
            engine =
                    new ServingEngine(
                            new ServingContext(
                                    catalog,
                                    table,
                                    this::send,
                                    permits,
                                    shared,
                                    budget,
                                    new EngineSelector(),
                                    new PromptQuarantine(),
                                    failureDomain(index),
                                    loop,
                                    random.split(),
                                    new SilentObserver()),
                            new ResponseMemory(64 << 20));
        }

        void start() {
            if (variant != StageVariant.ALONE && variant != StageVariant.TURNS) {
                network.start();
                permits.start();
            }
            if (variant == StageVariant.TURNS) {
                takeTurn();
                ticks.add(loop.every(TURN_MILLIS, this::takeTurn));
            }
            ticks.add(loop.every(TICK_MILLIS, shared::tick));
        }

        private void takeTurn() {
            long turn = loop.nowMillis() / TURN_MILLIS + index;
            List<UpstreamEntry> own = new ArrayList<>();
            for (int i = 0; i < entries.size(); i++) {
                if (entries.get(i).service().equals(ENGINE)
                        || (turn + i) % profile.routers() == 0) {
                    own.add(entries.get(i));
                }
            }
            table.replaceAll(own, loop.nowMillis());
        }

        void forgetUpstreams(StageLoss loss) {
            List<UpstreamEntry> left = new ArrayList<>(entries);
            List<UpstreamEntry> ofService =
                    entries.stream().filter(e -> e.service().equals(loss.service())).toList();
            left.removeAll(ofService.subList(0, loss.upstreams()));
            table.replaceAll(left, loop.nowMillis());
        }

        int ownedServices() {
            return (int)
                    profile.pools().stream()
                            .filter(
                                    pool ->
                                            membership
                                                    .ownerOf(
                                                            pool.service(),
                                                            Set.of(),
                                                            loop.nowMillis())
                                                    .equals(vmId))
                            .count();
        }

        /** The engine answers after a fixed time. */
        private Disposable send(UpstreamCall call, UpstreamListener listener) {
            upstreams.readAt(call.target().failureDomain(), call.inputs());
            long sentMillis = loop.nowMillis();
            return loop.after(
                    ENGINE_MILLIS,
                    () -> {
                        table.announcements()
                                .announced(
                                        call.target(),
                                        Announcement.good(engineLimit),
                                        sentMillis,
                                        loop.nowMillis());
                        listener.onHead(new UpstreamHead(OK, List.of(), true, false, false, false));
                        listener.onEnd();
                    });
        }
    }

    /**
     * A caller, which comes back once after a refusal when it is told to in good time, and leaves
     * where nothing comes for too long.
     */
    private final class Caller {
        private final StageRoute route;
        private final String id;
        private final List<Integer> pieces;
        private final long askedMillis = loop.nowMillis();
        private int waitingAttempt;
        private long attemptedMillis;
        private boolean ended;

        Caller(StageRoute route, String id, List<Integer> pieces) {
            this.route = route;
            this.id = id;
            this.pieces = pieces;
        }

        private long leftMillis() {
            return askedMillis + route.deadlineMillis() - loop.nowMillis();
        }

        void attempt(Router router, int number) {
            waitingAttempt = number;
            attemptedMillis = loop.nowMillis();
            CallerRequest request =
                    new CallerRequest(
                            id + "/" + number,
                            "POST",
                            "/" + route.name() + "/",
                            "h",
                            "/" + route.name() + "/",
                            List.of(),
                            new byte[0],
                            Optional.of(leftMillis()),
                            Optional.empty(),
                            Optional.empty(),
                            0,
                            0,
                            List.of(),
                            pieces,
                            Optional.of("key"));
            RunningRequest running = router.engine.run(request, new Attempt(this, router, number));
            if (running == null) {
                throw new IllegalStateException("no run of " + id);
            }
            loop.after(route.callerSilenceMillis(), () -> leave(running, number));
        }

        /** Leaves where nothing has come from this attempt for as long as a caller bears. */
        private void leave(RunningRequest running, int attempt) {
            if (!ended && attempt == waitingAttempt) {
                ended = true;
                tally.left();
                running.callerDisconnected();
            }
        }

        void failed() {
            ended = true;
            tally.failed();
        }

        void answered() {
            ended = true;
            tally.answered(route, route.isLarge(pieces), loop.nowMillis() - askedMillis);
        }

        void refused(Refusal refusal, int number) {
            waitingAttempt = 0;
            if (loop.nowMillis() - attemptedMillis
                    > route.objectiveMillis() / OBJECTIVES_PER_HOLD) {
                tally.held();
            }
            long afterMillis = refusal.retryAfterMillis().orElse(0);
            if (number > RETURNS || afterMillis > leftMillis() / 3) {
                ended = true;
                tally.refused(route);
                return;
            }
            Router next = routers.get(random.nextInt(routers.size()));
            loop.after(
                    afterMillis,
                    () -> {
                        if (dead.filter(d -> d == next).isPresent()) {
                            ended = true;
                            tally.refused(route);
                        } else {
                            attempt(next, number + 1);
                        }
                    });
        }
    }

    /** One attempt of a caller at one router. */
    private final class Attempt implements CallerExchange {
        private final Caller caller;
        private final Router router;
        private final int number;

        Attempt(Caller caller, Router router, int number) {
            this.caller = caller;
            this.router = router;
            this.number = number;
        }

        private boolean isLost() {
            return dead.filter(d -> d == router).isPresent();
        }

        @Override
        public void begin(int status, List<Header> headers, boolean streaming) {}

        @Override
        public void write(byte[] bytes) {}

        @Override
        public long unsentBytes() {
            return 0;
        }

        @Override
        public void finish() {
            if (!isLost()) {
                caller.answered();
            }
        }

        @Override
        public void abort() {
            caller.failed();
        }

        @Override
        public void refuse(Refusal refusal) {
            if (isLost()) {
                return;
            }
            if (refusal.status() == Refusal.UNAVAILABLE) {
                caller.refused(refusal, number);
            } else {
                caller.failed();
            }
        }
    }

    private static final class SilentObserver implements RequestObserver {
        @Override
        public void decided(String requestId, Decision decision, String detail) {}

        @Override
        public void ended(
                String requestId,
                String route,
                RequestOutcome end,
                String detail,
                long elapsedMillis) {}
    }
}
