package org.bronzewheel.stages;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/** Sets up routers that share the upstreams of a stage service, in virtual time. */
abstract class SharedStagesFixture {
    static final String SERVICE = "s";
    static final long CALL_MILLIS = 200;
    static final StagePool POOL = new StagePool(1, 2, 8, 180, 10, 100_000, 4_000);

    final StallingScheduler scheduler = new StallingScheduler();
    final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    final VirtualPeers peers = new VirtualPeers(scheduler);
    final List<Router> routers = new ArrayList<>();

    /** A router with a fake upstream client that answers after a fixed time. */
    final class Router implements StagePort {
        final String vmId;
        final SeedMembership membership;
        final CatalogState catalog = new CatalogState(4_000);
        final SharedStages stages;
        final List<List<StageItem>> calls = new ArrayList<>();
        final List<String> freed = new ArrayList<>();
        final HeartbeatService network;
        private final Loop ownLoop;

        Router(String vmId, double repeatSlack) {
            this(vmId, 1, repeatSlack);
        }

        Router(String vmId, long incarnation, double repeatSlack) {
            this(vmId, incarnation, repeatSlack, loop);
        }

        Router(String vmId, long incarnation, double repeatSlack, Loop ownLoop) {
            this.vmId = vmId;
            this.ownLoop = ownLoop;
            PeerTransport transport = peers.add(vmId);
            membership =
                    new SeedMembership(
                            vmId,
                            incarnation,
                            List.of("vm-0", "vm-1"),
                            3,
                            new SplittableRandom(1),
                            ownLoop.nowMillis());
            UpstreamTable upstreams = new UpstreamTable(2_000);
            upstreams.replaceAll(
                    List.of(new UpstreamEntry("u", SERVICE, "10.0.0.1:80", "d", 1, 0, false)), 0);
            catalog.applyIfNewer(
                    new Catalog(
                            1,
                            List.of(),
                            List.of(
                                    new ServiceEntry(
                                            SERVICE, 9, Optional.of(POOL), Optional.empty())),
                            CallerAccess.anyCaller(),
                            new CallerLimits(1, 1, 1, 1)));
            SharedRetryBudget budget = new SharedRetryBudget(0, repeatSlack, 10_000, 1);
            stages =
                    new StageDependencies(
                                    catalog,
                                    upstreams,
                                    Permits.UNLIMITED,
                                    this,
                                    transport,
                                    membership,
                                    budget,
                                    ownLoop)
                            .build();
            network =
                    new HeartbeatService(
                            transport,
                            membership,
                            ownLoop,
                            stages::ownBacklogs,
                            stages::submitters,
                            stages::receiveBacklog,
                            upstreams.announcements(),
                            ProgressExchange.NONE);
            network.start();
        }

        @Override
        public Disposable run(
                UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
            calls.add(items);
            int call = calls.size();
            return ownLoop.after(
                    CALL_MILLIS,
                    () ->
                            listener.onOutcomes(
                                    items.stream().map(item -> outcome(item, call)).toList()));
        }

        private StageItemOutcome outcome(StageItem item, int call) {
            String handle = vmId + "/" + call + "/" + item.requestId() + "/" + item.piece();
            return new StageItemOutcome(StageItemOutcome.Kind.MADE, handle);
        }

        @Override
        public void free(UpstreamEntry target, List<String> handles) {
            freed.addAll(handles);
        }

        Outcome submit(String requestId, int pieces) {
            Outcome outcome = new Outcome();
            stages.submit(
                    new StageJob(
                            requestId,
                            0,
                            SERVICE,
                            pieces,
                            Optional.of("k"),
                            List.of(),
                            List.of(),
                            10,
                            0,
                            ownLoop.nowMillis() + 3_000,
                            ownLoop.nowMillis() + 9_000,
                            0,
                            0,
                            "d",
                            false),
                    outcome);
            return outcome;
        }
    }

    /** Records the outcome of a job. */
    static final class Outcome implements StageListener {
        List<String> handles = List.of();
        int ends;
        Optional<StageFailure> failure = Optional.empty();

        @Override
        public void onResults(List<StageResult> results) {
            ends++;
            handles = results.stream().map(StageResult::handle).toList();
        }

        @Override
        public void onFailure(StageFailure why) {
            ends++;
            failure = Optional.of(why);
        }
    }

    void routers(double repeatSlack) {
        routers(3, repeatSlack);
    }

    void routers(int count, double repeatSlack) {
        for (int i = 0; i < count; i++) {
            routers.add(new Router("vm-" + i, repeatSlack));
        }
        loop.every(100, () -> routers.forEach(router -> router.stages.tick()));
        advance(2_000);
    }

    void advance(long millis) {
        scheduler.advance(millis);
    }

    Router owner() {
        String owner = routers.get(0).membership.ownerOf(SERVICE, Set.of(), loop.nowMillis());
        return routers.stream().filter(router -> router.vmId.equals(owner)).findFirst().get();
    }

    /** Returns the routers that do not own the service. */
    List<Router> submitters() {
        return routers.stream().filter(router -> router != owner()).toList();
    }
}
