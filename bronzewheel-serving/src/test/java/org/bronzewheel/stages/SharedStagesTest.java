package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.peering.Backlog;
import org.junit.jupiter.api.Test;

/** Tests routers that share the upstreams of a stage service, in virtual time. */
class SharedStagesTest extends SharedStagesFixture {
    @Test
    void jobsOfAllRoutersAreBatchedByOneOwner() {
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
    void aJobOfAnUnreachableOwnerIsResubmittedToTheNextOneAndLateResultsAreIgnored() {
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
    void withoutRetryBudgetTheJobOfALostOwnerFails() {
        routers(0);
        Outcome outcome = submitters().get(0).submit("a", 1);
        advance(50);
        peers.silence(owner().vmId);
        advance(3_000);
        assertThat(outcome.failure).hasValue(StageFailure.OWNER_LOST);
    }

    // Guards against a stall of this router that is taken for the silence of the owner.
    @Test
    void aStallOfTheEventLoopDoesNotFailTheJobsOfOtherOwners() {
        routers(0);
        Outcome outcome = submitters().get(0).submit("a", 1);
        advance(50);
        scheduler.stall(1_400);
        advance(3_000);
        assertThat(outcome.failure).isEmpty();
        assertThat(outcome.handles).hasSize(1);
    }

    // Guards against overdue timers that run before the heartbeats in the sockets are read.
    @Test
    void aStallOfTheSubmitterAloneDoesNotFailItsJobs() {
        routers(0);
        StallingScheduler stalling = new StallingScheduler();
        Loop loop = new Loop(stalling, () -> stalling.now(TimeUnit.MILLISECONDS));
        String vmId = vmId(score -> Long.compareUnsigned(score, score(owner())) < 0);
        Router submitter = new Router(vmId, 1, 0, loop);
        loop.every(100, submitter.stages::tick);
        advanceBoth(stalling, 2_000);
        for (int i = 0; i < MANY; i++) {
            owner().submit("r" + i, POOL.batch());
        }
        Outcome outcome = submitter.submit("a", 1);
        advanceBoth(stalling, 50);
        peers.silence(vmId);
        advance(1_400);
        peers.heal(vmId);
        stalling.stall(1_400);
        assertThat(outcome.ends).isEqualTo(0);
        advanceBoth(stalling, 6_000);
        assertThat(outcome.failure).isEmpty();
        assertThat(outcome.handles).hasSize(1);
    }

    private void advanceBoth(StallingScheduler other, long millis) {
        for (long passed = 0; passed < millis; passed++) {
            advance(1);
            other.advance(1);
        }
    }

    @Test
    void aCancelledJobIsRemovedByItsOwnerAndItsResultsAreFreed() {
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

    // Guards against a rank whose share shrinks because its requests are refused before submission.
    @Test
    void aSubmitterReportsUnmetDemandToTheOwnerWithItsNextJob() {
        routers(10);
        Router submitter = submitters().get(0);
        submitter.stages.reportUnmetDemand(SERVICE, 2, 12);
        submitter.submit("a", 2);
        advance(50);
        assertThat(owner().stages.guaranteedShare(SERVICE, 2)).isWithin(1e-3).of(0.375);
    }

    @Test
    void anExpiredBacklogGivesNoExpectedWait() {
        routers(10);
        Router submitter = submitters().get(0);
        submitter.stages.receiveBacklog(SERVICE, new Backlog(List.of(9_000L), CALL_MILLIS));
        assertThat(submitter.stages.expectedWait(SERVICE, 0).waitMillis()).isEqualTo(9_000);
        advance(2_100);
        assertThat(submitter.stages.expectedWait(SERVICE, 0).waitMillis()).isEqualTo(0);
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
    void queuedJobsOfARouterThatStopsAreRunByTheNextOwner() {
        routers(0);
        Router former = owner();
        List<Outcome> outcomes = submitMany(submitters().get(0), former);
        former.network.leave();
        assertHandedOver(former, outcomes);
    }

    @Test
    void queuedJobsOfARouterThatLosesAServiceAreRunByTheNewOwner() {
        routers(0);
        Router former = owner();
        List<Outcome> outcomes = submitMany(submitters().get(0), former);
        String above = vmId(score -> Long.compareUnsigned(score, score(former)) > 0);
        routers.add(new Router(above, 0));
        assertHandedOver(former, outcomes);
    }

    @Test
    void aHandedOverJobCanBeCancelled() {
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

    /** Queues several seconds of work at an owner, submitted by itself and another router. */
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

    private static long score(Router router) {
        return RendezvousHash.score(SERVICE, router.vmId);
    }

    /** Returns the id of a further VM whose hash score for the service satisfies a condition. */
    private static String vmId(LongPredicate condition) {
        return IntStream.range(3, 1_000)
                .mapToObj(i -> "vm-" + i)
                .filter(vm -> condition.test(RendezvousHash.score(SERVICE, vm)))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void theOwnerReportsItsBacklogToSubmitters() {
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

    // Guards against the less urgent ranks being told the wait of a more urgent one.
    @Test
    void waitIsReportedForEachRankOfTheConfiguration() {
        routers(10);
        submitters().get(0).submit("a", 1);
        advance(50);
        assertThat(reportedRanks()).isEqualTo(4);
        ranks(2, 3, 3);
        assertThat(reportedRanks()).isEqualTo(9);
        ranks(3, 9, 3);
        assertThat(reportedRanks()).isEqualTo(16);
    }

    private int reportedRanks() {
        return owner().stages.ownBacklogs().get(SERVICE).waitMillis().size();
    }

    private void ranks(long version, int workspacePriorities, int routePriorities) {
        List<WorkspaceEntry> workspaces =
                IntStream.range(0, workspacePriorities)
                        .mapToObj(
                                priority ->
                                        new WorkspaceEntry(
                                                "w" + priority,
                                                List.of(),
                                                OptionalInt.of(priority)))
                        .toList();
        List<ServiceRoute> routes =
                IntStream.range(0, routePriorities)
                        .mapToObj(
                                priority ->
                                        new ServiceRoute(
                                                "r" + priority,
                                                "h",
                                                "/" + priority,
                                                false,
                                                RetryRule.IDEMPOTENT,
                                                1_000,
                                                100,
                                                0,
                                                0,
                                                priority,
                                                1,
                                                List.of(),
                                                List.of(),
                                                false))
                        .toList();
        owner().catalog
                .applyIfNewer(
                        new Catalog(
                                version,
                                routes,
                                owner().catalog.current().get().services(),
                                CallerAccess.withKeys(workspaces),
                                new CallerLimits(1, 1, 1, 1)));
    }
}
