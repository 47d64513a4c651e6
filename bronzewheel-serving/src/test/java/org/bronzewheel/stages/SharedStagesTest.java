package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.peering.PeerNetwork;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.repeats.RepeatBudget;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.Test;

/** Three routers that share the upstreams of a stage service, in virtual time. */
class SharedStagesTest {
    private static final String SERVICE = "s";
    private static final long CALL_MILLIS = 200;
    private static final StagePool POOL = new StagePool(1, 2, 8, 180, 10, 100_000, 4_000);

    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final List<Router> routers = new ArrayList<>();

    /** One router with its own way to the upstream, which answers after a fixed time. */
    private final class Router implements StagePort {
        private final String vmId;
        private final SeedMembership membership;
        private final SharedStages stages;
        private final List<List<StageItem>> calls = new ArrayList<>();
        private final List<String> freed = new ArrayList<>();
        private final PeerNetwork network;

        Router(String vmId, double repeatSlack) {
            this.vmId = vmId;
            PeerTransport transport = peers.add(vmId);
            membership =
                    new SeedMembership(vmId, 1, List.of("vm-0"), 3, new SplittableRandom(1), 0);
            UpstreamTable upstreams = new UpstreamTable(2_000);
            upstreams.replaceAll(
                    List.of(new UpstreamEntry("u", SERVICE, "10.0.0.1:80", "d", 1, 0, false)), 0);
            CatalogState catalog = new CatalogState(4_000);
            catalog.offer(
                    new Catalog(
                            1,
                            List.of(),
                            List.of(
                                    new ServiceEntry(
                                            SERVICE, 9, Optional.of(POOL), Optional.empty())),
                            List.of(),
                            new CallerLimits(1, 1, 1, 1)));
            RepeatBudget budget = new RepeatBudget(0, repeatSlack, 10_000, 1);
            stages =
                    new StageParts(catalog, upstreams, this, transport, membership, budget, loop)
                            .build();
            network =
                    new PeerNetwork(
                            transport,
                            membership,
                            loop,
                            stages::ownBacklogs,
                            stages::submitters,
                            stages::takeBacklog);
            network.start();
        }

        @Override
        public Disposable run(
                UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
            calls.add(items);
            int call = calls.size();
            return loop.after(
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
                            10,
                            0,
                            loop.nowMillis() + 3_000,
                            loop.nowMillis() + 9_000,
                            0,
                            "d"),
                    outcome);
            return outcome;
        }
    }

    /** Remembers the outcome of a job. */
    private static final class Outcome implements StageListener {
        private List<String> handles = List.of();
        private Optional<StageFailure> failure = Optional.empty();

        @Override
        public void onResults(List<StageResult> results) {
            handles = results.stream().map(StageResult::handle).toList();
        }

        @Override
        public void onFailure(StageFailure why) {
            failure = Optional.of(why);
        }
    }

    private void routers(double repeatSlack) {
        for (int i = 0; i < 3; i++) {
            routers.add(new Router("vm-" + i, repeatSlack));
        }
        loop.every(100, () -> routers.forEach(router -> router.stages.tick()));
        advance(2_000);
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    private Router owner() {
        String owner = routers.get(0).membership.ownerOf(SERVICE, Set.of(), loop.nowMillis());
        return routers.stream().filter(router -> router.vmId.equals(owner)).findFirst().get();
    }

    /** Returns the routers that do not own the service. */
    private List<Router> submitters() {
        return routers.stream().filter(router -> router != owner()).toList();
    }

    @Test
    void theJobsOfAllRoutersShareTheCallsOfOneOwner() {
        routers(10);
        Outcome first = routers.get(0).submit("a", 1);
        advance(50);
        Outcome second = routers.get(1).submit("b", 2);
        Outcome third = routers.get(2).submit("c", 3);
        advance(600);
        assertThat(first.handles).hasSize(1);
        assertThat(second.handles)
                .containsExactly(owner().vmId + "/2/b/0", owner().vmId + "/2/b/1")
                .inOrder();
        assertThat(third.handles).hasSize(3);
        assertThat(owner().calls).hasSize(2);
        submitters().forEach(router -> assertThat(router.calls).isEmpty());
    }

    @Test
    void aJobOfASilentOwnerIsMadeByTheNextOneAndTheLateResultsAreNotUsed() {
        routers(10);
        Router lost = owner();
        Router submitter = submitters().get(0);
        Outcome outcome = submitter.submit("a", 2);
        advance(100);
        peers.silence(lost.vmId);
        advance(3_000);
        assertThat(outcome.handles).hasSize(2);
        assertThat(outcome.handles.get(0)).doesNotContain(lost.vmId);
        List<String> used = outcome.handles;
        peers.heal(lost.vmId);
        advance(3_000);
        assertThat(outcome.handles).isEqualTo(used);
    }

    @Test
    void withoutABudgetTheJobOfALostOwnerFails() {
        routers(0);
        Outcome outcome = submitters().get(0).submit("a", 1);
        advance(50);
        peers.silence(owner().vmId);
        advance(3_000);
        assertThat(outcome.failure).hasValue(StageFailure.OWNER_LOST);
    }

    @Test
    void aCancelledJobIsDroppedByItsOwnerAndItsResultsAreFreed() {
        routers(10);
        Router submitter = submitters().get(0);
        Outcome outcome = submitter.submit("a", 2);
        advance(50);
        submitter.stages.cancel(SERVICE, "a");
        advance(600);
        assertThat(outcome.handles).isEmpty();
        assertThat(owner().freed).hasSize(2);
        assertThat(owner().stages.openJobs()).isEqualTo(0);
    }

    @Test
    void releasedResultsAreFreedByTheOwner() {
        routers(10);
        Router submitter = submitters().get(0);
        submitter.stages.release(List.of(new StageResult(SERVICE, "h", "u", "d", 10)));
        advance(100);
        assertThat(owner().freed).containsExactly("h");
    }

    @Test
    void waitingJobsOfARouterThatStopsAreMadeByTheNextOwner() {
        routers(0);
        Router former = owner();
        List<Outcome> outcomes = submitMany(submitters().get(0), former);
        former.network.leave();
        assertHandedOver(former, outcomes);
    }

    @Test
    void waitingJobsOfARouterThatLosesAServiceAreMadeByTheNewOwner() {
        routers(0);
        Router former = owner();
        List<Outcome> outcomes = submitMany(submitters().get(0), former);
        routers.add(new Router(vmIdAbove(former), 0));
        assertHandedOver(former, outcomes);
    }

    @Test
    void aCancelReachesAJobThatWasHandedOver() {
        routers(0);
        Router former = owner();
        Router submitter = submitters().get(0);
        submitMany(submitter, former);
        former.network.leave();
        advance(500);
        for (int i = 0; i < MANY; i++) {
            (i % 2 == 0 ? submitter : former).stages.cancel(SERVICE, "r" + i);
        }
        advance(500);
        routers.forEach(router -> assertThat(router.stages.openJobs()).isEqualTo(0));
    }

    private static final int MANY = 20;

    /** Fills the queue of an owner with calls for several seconds, from it and another router. */
    private List<Outcome> submitMany(Router submitter, Router owner) {
        List<Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            outcomes.add((i % 2 == 0 ? submitter : owner).submit("r" + i, POOL.batch()));
        }
        advance(300);
        return outcomes;
    }

    private void assertHandedOver(Router former, List<Outcome> outcomes) {
        advance(500);
        int begun = former.calls.size();
        advance(6_000);
        assertThat(former.calls).hasSize(begun);
        for (Outcome outcome : outcomes) {
            assertThat(outcome.failure).isEmpty();
            assertThat(outcome.handles).hasSize(POOL.batch());
        }
        assertThat(former.stages.openJobs()).isEqualTo(0);
    }

    /** Returns a name with which a router owns the service in the place of another one. */
    private static String vmIdAbove(Router owner) {
        long score = RendezvousHash.score(SERVICE, owner.vmId);
        return IntStream.range(3, 1_000)
                .mapToObj(i -> "vm-" + i)
                .filter(vm -> Long.compareUnsigned(RendezvousHash.score(SERVICE, vm), score) > 0)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void theOwnerTellsItsWaitsToAllWhoSubmit() {
        routers(10);
        Router submitter = submitters().get(0);
        for (int i = 0; i < 30; i++) {
            submitter.submit("r" + i, 8);
        }
        advance(700);
        StageWait wait = submitter.stages.expectedWait(SERVICE, 0);
        assertThat(wait.waitMillis()).isGreaterThan(1_000);
        assertThat(wait.callMillis()).isEqualTo(CALL_MILLIS);
        assertThat(wait.ageMillis()).isAtMost(350);
        assertThat(owner().stages.submitters()).contains(submitter.vmId);
    }
}
