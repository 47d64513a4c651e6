package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.EnginePool;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.quarantine.EvidenceExchange;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/** Routers before engines that one prompt part crashes, in virtual time. */
final class EngineFleet {
    static final String DEADLY = "deadly";
    private static final long RESTART_MILLIS = 3_000;
    private static final long EVENT_MILLIS = 40;
    private static final int EVENTS = 25;

    final TestScheduler scheduler = new TestScheduler();
    final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    final VirtualPeers peers = new VirtualPeers(scheduler);
    final List<Router> routers = new ArrayList<>();
    final Map<String, Engine> engines = new HashMap<>();
    final List<Long> crashMillis = new ArrayList<>();
    final List<Arrival> deadlyArrivals = new ArrayList<>();
    final SplittableRandom random;
    private int lives;
    private int requests;

    /** A request with the deadly part that reached an engine. */
    record Arrival(long atMillis, String vmId, long routerAgeMillis) {}

    EngineFleet(int routerCount, int engineCount, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router("vm-" + i, 1));
        }
        for (int i = 0; i < engineCount; i++) {
            startEngine();
        }
    }

    void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    private void startEngine() {
        Engine engine = new Engine("e" + lives++);
        engines.put(engine.id, engine);
        routers.forEach(router -> router.upstreams.put(entry(engine.id), 0));
    }

    private static UpstreamEntry entry(String id) {
        return new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 32, 0, false);
    }

    /** Ends an engine for a reason of its own. */
    void kill(String id) {
        Engine engine = engines.remove(id);
        if (engine == null) {
            return;
        }
        engine.end();
        loop.after(
                RESTART_MILLIS,
                () -> {
                    routers.forEach(router -> router.upstreams.remove(id, loop.nowMillis()));
                    startEngine();
                });
    }

    /** One process lifetime of an engine. */
    final class Engine {
        private final String id;
        private final Set<Attempt> attempts = new LinkedHashSet<>();

        Engine(String id) {
            this.id = id;
        }

        void begin(Attempt attempt) {
            if (!attempts.contains(attempt)) {
                return;
            }
            if (attempt.call.request().promptParts().stream()
                    .anyMatch(p -> p.id().equals(DEADLY))) {
                crashMillis.add(loop.nowMillis());
                kill(id);
                return;
            }
            attempt.listener.onHead(new UpstreamHead(200, List.of(), true, false, false, false));
            event(attempt, 1);
        }

        private void event(Attempt attempt, int number) {
            if (!attempts.contains(attempt)) {
                return;
            }
            String text = "id: " + number + "\ndata: x\n\n";
            attempt.listener.onData(text.getBytes(StandardCharsets.UTF_8));
            if (number == EVENTS && attempts.remove(attempt)) {
                attempt.listener.onEnd();
            } else {
                loop.after(EVENT_MILLIS, () -> event(attempt, number + 1));
            }
        }

        void end() {
            List<Attempt> broken = List.copyOf(attempts);
            attempts.clear();
            for (Attempt attempt : broken) {
                loop.after(1, attempt::breakOff);
            }
        }
    }

    /** One attempt at an engine. */
    private record Attempt(UpstreamCall call, UpstreamListener listener) {
        void breakOff() {
            listener.onDisconnected();
            listener.onFailure(CallFailure.BROKEN, "the connection closed early");
        }
    }

    /** The outcome of one request, as its caller sees it. */
    final class Caller implements CallerExchange {
        final List<PromptPart> prompt;
        final long sentMillis = loop.nowMillis();
        boolean began;
        boolean finished;
        int refusedStatus;
        private int retriesLeft;

        Caller(List<PromptPart> prompt, int retriesLeft) {
            this.prompt = prompt;
            this.retriesLeft = retriesLeft;
        }

        private void retry() {
            if (retriesLeft > 0) {
                retriesLeft--;
                loop.after(50, () -> anyRouter().run(prompt, new Caller(prompt, 0)));
            }
        }

        @Override
        public void begin(int status, List<Header> headers, boolean streaming) {
            began = true;
        }

        @Override
        public void write(byte[] bytes) {}

        @Override
        public long unsentBytes() {
            return 0;
        }

        @Override
        public void finish() {
            finished = true;
        }

        @Override
        public void abort() {
            retry();
        }

        @Override
        public void refuse(Refusal refusal) {
            refusedStatus = refusal.status();
            retry();
        }
    }

    Caller request(Router router, String... sharedParts) {
        return request(router, 1, sharedParts);
    }

    Caller request(Router router, int retries, String... sharedParts) {
        List<PromptPart> prompt = new ArrayList<>();
        for (String id : sharedParts) {
            prompt.add(new PromptPart(id, 100));
        }
        prompt.add(new PromptPart("own" + requests++, 100));
        Caller caller = new Caller(prompt, retries);
        router.run(prompt, caller);
        return caller;
    }

    Router anyRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    /** Replaces a router by one that knows nothing. */
    void restart(int index) {
        Router old = routers.get(index);
        old.stop();
        Router fresh = new Router(old.vmId, old.incarnation + 1);
        routers.set(index, fresh);
        engines.keySet().forEach(id -> fresh.upstreams.put(entry(id), 0));
    }

    /** A router. */
    final class Router {
        final String vmId;
        final PromptQuarantine quarantine = new PromptQuarantine();
        private final long incarnation;
        private final long startedMillis = loop.nowMillis();
        private final UpstreamTable upstreams = new UpstreamTable(2_000);
        private final ServingEngine engine;
        private final EvidenceExchange evidence;
        private final HeartbeatService heartbeats;

        Router(String vmId, long incarnation) {
            this.vmId = vmId;
            this.incarnation = incarnation;
            PeerTransport transport = peers.add(vmId);
            SeedMembership membership =
                    new SeedMembership(
                            vmId,
                            incarnation,
                            List.of("vm-0", "vm-1", "vm-2"),
                            3,
                            random.split(),
                            loop.nowMillis());
            upstreams.replaceAll(List.of(), loop.nowMillis());
            CatalogState catalog = new CatalogState(1_000_000);
            catalog.applyIfNewer(catalog());
            catalog.confirm(1, loop.now());
            evidence = new EvidenceExchange(transport, membership, quarantine, loop);
            heartbeats =
                    new HeartbeatService(
                            transport,
                            membership,
                            loop,
                            Map::of,
                            Set::of,
                            (service, backlog) -> {},
                            upstreams.announcements(),
                            ProgressExchange.NONE);
            engine =
                    new ServingEngine(
                            new ServingContext(
                                    catalog,
                                    upstreams,
                                    this::send,
                                    Permits.UNLIMITED,
                                    new ServingHarness(),
                                    new SharedRetryBudget(0.2, 500, 10_000, 1),
                                    new EngineSelector(),
                                    quarantine,
                                    "d",
                                    loop,
                                    random.split(),
                                    new ServingHarness()),
                            new ResponseMemory(64 << 20));
            evidence.start();
            heartbeats.start();
        }

        private Arrival arrival() {
            long nowMillis = loop.nowMillis();
            return new Arrival(nowMillis, vmId, nowMillis - startedMillis);
        }

        private void stop() {
            evidence.stop();
            heartbeats.stop();
        }

        private Disposable send(UpstreamCall call, UpstreamListener listener) {
            Attempt attempt = new Attempt(call, listener);
            boolean deadly =
                    call.request().promptParts().stream().anyMatch(p -> p.id().equals(DEADLY));
            loop.after(
                    1,
                    () -> {
                        Engine target = engines.get(call.target().id());
                        if (target == null) {
                            listener.onFailure(CallFailure.NOT_SENT, "refused");
                            return;
                        }
                        if (deadly) {
                            deadlyArrivals.add(arrival());
                        }
                        target.attempts.add(attempt);
                        loop.after(100 + random.nextInt(300), () -> target.begin(attempt));
                    });
            return Disposable.fromRunnable(
                    () -> engines.values().forEach(e -> e.attempts.remove(attempt)));
        }

        private void run(List<PromptPart> prompt, Caller caller) {
            engine.run(
                    new CallerRequest(
                            "id" + requests,
                            "POST",
                            "/r/x",
                            "h",
                            "/r/x",
                            List.of(),
                            new byte[0],
                            Optional.of(15_000L),
                            Optional.empty(),
                            Optional.empty(),
                            100 * prompt.size(),
                            100,
                            prompt,
                            List.of(),
                            Optional.empty()),
                    caller);
        }
    }

    private static Catalog catalog() {
        ServiceRoute route =
                new ServiceRoute(
                        "r",
                        "h",
                        "/r/",
                        true,
                        RetryRule.RESUMABLE,
                        15_000,
                        2_000,
                        300,
                        4_000,
                        0,
                        3,
                        List.of(new ServiceShare("s", 1)),
                        List.of(),
                        true);
        return new Catalog(
                1,
                List.of(route),
                List.of(
                        new ServiceEntry(
                                "s",
                                250,
                                Optional.empty(),
                                Optional.of(new EnginePool(32, 100_000)))),
                CallerAccess.anyCaller(),
                new CallerLimits(1, 1, 1, 1));
    }
}
