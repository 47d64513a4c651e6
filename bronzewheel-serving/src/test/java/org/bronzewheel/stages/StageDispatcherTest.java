package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.permits.FakePermits;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.ReportedLoad;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the dispatcher of a stage service in virtual time. */
class StageDispatcherTest {
    private static final long LATER_MILLIS = 300;
    private static final StagePool POOL = new StagePool(1, 2, 4, 240, 10, 1_000, 4_000);

    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable(2_000);
    private final FakePermits permits = new FakePermits();
    private final List<Call> calls = new ArrayList<>();
    private final Set<Call> ended = new HashSet<>();
    private final List<String> freed = new ArrayList<>();
    private final List<StageResult> inputsReleased = new ArrayList<>();

    /** The inputs that other stages need, too. */
    private final Set<StageResult> shared = new HashSet<>();

    private boolean first;
    private boolean shedsByCost;
    private Optional<StagePool> pool = Optional.of(POOL);
    private StageDispatcher dispatcher = dispatcher(100);

    private StageDispatcher dispatcher(double retries) {
        return new StageDispatcher(
                "s",
                service -> pool,
                upstreams,
                permits,
                new Port(),
                new SharedRetryBudget(0, retries, 10_000, 1),
                loop,
                inputsReleased::addAll,
                () -> shedsByCost);
    }

    /** A call in progress. */
    private record Call(UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
        List<String> ids() {
            return items.stream().map(item -> item.requestId() + "/" + item.piece()).toList();
        }

        void noRoom() {
            all(StageItemOutcome.Kind.NO_ROOM);
        }

        void all(StageItemOutcome.Kind kind) {
            listener.onOutcomes(
                    items.stream().map(item -> new StageItemOutcome(kind, "")).toList());
        }

        void done() {
            listener.onOutcomes(
                    items.stream()
                            .map(
                                    item ->
                                            new StageItemOutcome(
                                                    StageItemOutcome.Kind.MADE,
                                                    item.requestId() + item.piece()))
                            .toList());
        }
    }

    private final class Port implements StagePort {
        @Override
        public Disposable run(
                UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
            calls.add(new Call(target, items, listener));
            return Disposable.empty();
        }

        @Override
        public void free(UpstreamEntry target, List<String> handles) {
            freed.addAll(handles);
        }
    }

    /** Records the outcome of a job. */
    private static final class Outcome implements StageListener {
        private List<StageResult> results = List.of();
        private StageFailure failure;

        @Override
        public void onResults(List<StageResult> made) {
            results = made;
        }

        @Override
        public void onFailure(StageFailure why) {
            failure = why;
        }
    }

    private void upstreams(String... ids) {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 0, false));
        }
        upstreams.replaceAll(entries, 0);
    }

    private Outcome submit(String id, int pieces, int rank, long bytes, long deadlineMillis) {
        return submit(id, pieces, rank, bytes, deadlineMillis, List.of());
    }

    private Outcome submit(
            String id,
            int pieces,
            int rank,
            long bytes,
            long deadlineMillis,
            List<StageResult> inputs) {
        return submit(id, pieces, rank, bytes, 2_000, deadlineMillis, inputs);
    }

    private Outcome submit(
            String id,
            int pieces,
            int rank,
            long bytes,
            long objectiveMillis,
            long deadlineMillis,
            List<StageResult> inputs) {
        Outcome outcome = new Outcome();
        long now = loop.nowMillis();
        dispatcher.submit(
                new StageJob(
                        id,
                        0,
                        "s",
                        pieces,
                        Optional.of("k"),
                        inputs,
                        inputs.stream().filter(input -> !shared.contains(input)).toList(),
                        bytes,
                        rank,
                        now + objectiveMillis,
                        now + deadlineMillis,
                        LATER_MILLIS,
                        100,
                        "d",
                        first),
                outcome,
                true);
        return outcome;
    }

    /** Runs three full calls of the given duration. */
    private void usualCalls(long millis) {
        for (int i = 0; i < 3; i++) {
            submit("usual" + i, 4, 0, 10, 9_000);
            advance(millis);
            calls.get(i).done();
            advance(10);
        }
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    @Test
    void piecesOfManyRequestsShareACallInOrderOfRank() {
        upstreams("u");
        Outcome first = submit("a", 1, 1, 10, 9_000);
        advance(1);
        submit("b", 2, 1, 10, 9_000);
        submit("c", 2, 0, 10, 9_000);
        submit("d", 1, 1, 10, 9_000);
        advance(100);
        assertThat(calls).hasSize(1);
        calls.get(0).done();
        advance(1);

        assertThat(first.results).hasSize(1);
        assertThat(calls.get(1).ids()).containsExactly("c/0", "c/1", "b/0", "b/1").inOrder();
    }

    // Guards against starvation of the last rank under a steady load of urgent jobs.
    @Test
    void theLastRankGetsItsShareWhileUrgentJobsKeepComing() {
        upstreams("u");
        int waiting = 0;
        for (int i = 0; i < 20; i++) {
            submit("urgent" + i, 4, 0, 10, 60_000, 60_000, List.of());
            submit("last" + i, 1, 2, 10, 60_000, 60_000, List.of());
            dispatcher.reportUnmetDemand(2, 3);
            advance(10);
            calls.get(i).done();
            waiting += 4;
        }
        long taken =
                calls.stream()
                        .flatMap(call -> call.ids().stream())
                        .filter(id -> id.startsWith("last"))
                        .count();
        assertThat(taken).isAtLeast(waiting / 5);
    }

    @Test
    void theExpectedWaitOfTheLastRankAccountsForItsShare() {
        upstreams("u");
        submit("busy", 4, 0, 10, 9_000);
        advance(1);
        for (int i = 0; i < 10; i++) {
            submit("urgent" + i, 4, 0, 10, 9_000, 9_000, List.of());
        }
        submit("last", 4, 2, 10, 9_000, 9_000, List.of());
        dispatcher.reportUnmetDemand(2, 36);
        long byRankMillis = 2_800 + 280;
        assertThat(dispatcher.expectedWaitMillis(2)).isLessThan(byRankMillis);
        assertThat(dispatcher.expectedWaitMillis(0)).isEqualTo(2_800);
    }

    /** Submits more urgent work for three seconds than the upstream can process. */
    private void overload() {
        upstreams("u");
        for (int i = 0; i < 30; i++) {
            submit("urgent" + i, 3, 0, 10, 60_000, 60_000, List.of());
            if (i % 3 == 1) {
                calls.get(calls.size() - 1).done();
            }
            advance(100);
        }
    }

    // Guards against requests that are queued for seconds and then refused.
    @Test
    void aNewRequestThatCannotMeetItsDeadlineUnderOverloadIsRefusedAtOnce() {
        overload();
        first = true;
        Outcome refused = submit("new", 1, 1, 10, 1_000, 6_000, List.of());
        advance(1);
        assertThat(refused.failure).isEqualTo(StageFailure.LATE);
    }

    @Test
    void aStartedRequestIsNotRefusedForExpectedArrivals() {
        overload();
        Outcome kept = submit("begun", 1, 1, 10, 1_000, 6_000, List.of());
        advance(1);
        assertThat(kept.failure).isNull();
    }

    @Test
    void aNewRequestThatCanMeetItsObjectiveIsAcceptedUnderOverload() {
        overload();
        first = true;
        Outcome taken = submit("new", 1, 1, 10, 20_000, 30_000, List.of());
        advance(1);
        assertThat(taken.failure).isNull();
    }

    @Test
    void aJobThatIsLateByTheMeasuredCallTimeWaitsBehindOnTimeJobs() {
        upstreams("u");
        usualCalls(600);
        submit("busy", 4, 0, 10, 9_000);
        advance(1);
        submit("justMissed", 4, 0, 10, 900, 9_000, List.of());
        submit("onTime", 4, 0, 10, 2_000, 9_000, List.of());
        advance(400);
        calls.get(3).done();
        advance(1);
        assertThat(calls.get(4).ids()).contains("onTime/0");
    }

    @Test
    void aCallOfASlowUpstreamDoesNotRaiseTheExpectedCallTime() {
        upstreams("u");
        usualCalls(280);
        submit("slow", 4, 0, 10, 9_000);
        advance(1_300);
        calls.get(3).done();
        advance(1);
        assertThat(dispatcher.expectedCallMillis()).isEqualTo(280);
    }

    @Test
    void aCallHasNoMoreResultsThanTheUpstreamHasSpaceFor() {
        upstreams("u");
        submit("a", 1, 0, 600, 9_000);
        Outcome waiting = submit("b", 1, 0, 600, 9_000);
        advance(1);
        calls.get(0).done();
        advance(100);
        assertThat(calls).hasSize(1);

        dispatcher.release(List.of(new StageResult("s", "a0", "u", "d", 600)));
        advance(100);
        assertThat(freed).containsExactly("a0");
        calls.get(1).done();
        assertThat(waiting.results).hasSize(1);
    }

    @Test
    void repeatedLackOfSpaceDoesNotFailAJob() {
        upstreams("u");
        Outcome outcome = submit("a", 4, 0, 10, 9_000);
        advance(1);
        for (int i = 0; i < 6; i++) {
            assertThat(calls).hasSize(i + 1);
            calls.get(i).noRoom();
            advance(900);
        }
        assertThat(outcome.failure).isNull();
        calls.get(6).done();
        assertThat(outcome.results).hasSize(4);
    }

    @Test
    void smallResultsAreStillSentAfterALargeOneFoundNoSpace() {
        upstreams("u");
        submit("a", 1, 0, 600, 9_000);
        advance(1);
        calls.get(0).noRoom();
        submit("b", 1, 0, 10, 9_000);
        advance(10);
        assertThat(calls.get(1).ids()).containsExactly("b/0");
        calls.get(1).done();
        advance(200);
        assertThat(calls.get(2).ids()).containsExactly("a/0");
    }

    @Test
    void resultsThatAreNotFreedExpire() {
        upstreams("u");
        submit("a", 1, 0, 600, 9_000);
        submit("b", 1, 0, 600, 9_000);
        advance(1);
        calls.get(0).done();
        advance(4_100);
        assertThat(calls).hasSize(2);
    }

    @Test
    void aJobThatCannotMeetItsDeadlineFailsAtOnce() {
        upstreams("u");
        Outcome late = submit("a", 1, 0, 10, 300);
        advance(1);
        assertThat(late.failure).isEqualTo(StageFailure.LATE);
        assertThat(calls).isEmpty();
    }

    @Test
    void aJobWhoseInputsExpireInTheQueueIsNotSent() {
        upstreams("u");
        Outcome first = submit("first", 4, 0, 10, 20_000);
        advance(10);
        StageResult input = new StageResult("t", "h", "m", "d", 10);
        Outcome lapsed = submit("lapsed", 4, 2, 10, 2_000, 20_000, List.of(input));
        for (int i = 0; i < 9; i++) {
            submit("ahead" + i, 4, 0, 10, 20_000);
        }
        for (int i = 0; i < 5; i++) {
            advance(900);
            calls.get(calls.size() - 1).done();
        }
        assertThat(first.results).hasSize(4);
        assertThat(lapsed.failure).isEqualTo(StageFailure.INPUT_GONE);
        assertThat(calls.stream().flatMap(call -> call.ids().stream()).toList())
                .doesNotContain("lapsed/0");
    }

    @Test
    void aJobIsNotFailedForACallThatMayEndInTime() {
        upstreams("u");
        submit("busy", 4, 0, 10, 9_000);
        advance(1);
        Outcome tight = submit("tight", 4, 0, 10, 490);
        advance(100);
        assertThat(tight.failure).isNull();
    }

    @Test
    void aFailedCallIsRetriedAtAnotherUpstream() {
        upstreams("u", "v");
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(1);
        calls.get(0).listener().onFailure(StageCallFailure.BROKEN, "reset");
        advance(100);
        assertThat(calls.get(1).target().id()).isNotEqualTo(calls.get(0).target().id());
        calls.get(1).done();
        assertThat(outcome.results).hasSize(1);
    }

    /** Lets each call to an upstream fail without being sent, as long as there are new ones. */
    private void refuseCallsTo(String id, long forMillis) {
        int seen = 0;
        for (long elapsed = 0; elapsed < forMillis; elapsed += 10) {
            for (; seen < calls.size(); seen++) {
                if (calls.get(seen).target().id().equals(id)) {
                    calls.get(seen)
                            .listener()
                            .onFailure(StageCallFailure.NOT_SENT, "connection refused");
                }
            }
            advance(10);
        }
    }

    // Guards against an upstream that is gone, but still listed, using up the retry budget.
    @Test
    void anUpstreamThatRefusesConnectionsFailsNoJobForLackOfRetries() {
        dispatcher = dispatcher(0);
        upstreams("u");
        List<Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            outcomes.add(submit("a" + i, 2, 0, 10, 9_000));
        }
        refuseCallsTo("u", 2_000);

        assertThat(outcomes.stream().map(outcome -> outcome.failure).toList())
                .containsExactlyElementsIn(Collections.nCopies(8, null));
    }

    // Guards against whole batches that wait for an upstream which cannot be reached.
    @Test
    void anUpstreamThatRefusesConnectionsIsProbedWithOneTaskEachSecond() {
        upstreams("u");
        for (int i = 0; i < 4; i++) {
            submit("a" + i, 1, 0, 10, 9_000);
        }
        refuseCallsTo("u", 4_000);

        assertThat(calls.get(0).items()).hasSize(4);
        assertThat(calls.stream().skip(1).map(call -> call.items().size()).distinct().toList())
                .containsExactly(1);
        assertThat(calls.size()).isAtMost(8);
    }

    // Guards against a paused upstream that is treated as unreachable after its pause.
    @Test
    void anUpstreamThatWithheldCallsGetsFullCallsAfterwards() {
        dispatcher = dispatcher(0);
        upstreams("u");
        for (int i = 0; i < 4; i++) {
            submit("a" + i, 1, 0, 10, 9_000);
        }
        advance(1);
        for (int i = 0; i < 3; i++) {
            calls.get(i).listener().onFailure(StageCallFailure.WITHHELD, "paused");
            advance(200);
        }

        assertThat(calls).hasSize(4);
        assertThat(calls.get(3).items()).hasSize(4);
    }

    @Test
    void anUpstreamThatAcceptsConnectionsAgainGetsFullCalls() {
        upstreams("u");
        for (int i = 0; i < 6; i++) {
            submit("a" + i, 1, 0, 10, 9_000);
        }
        refuseCallsTo("u", 100);
        advance(100);
        calls.get(1).done();
        advance(10);

        assertThat(calls.get(2).items()).hasSize(4);
    }

    // Guards against jobs that wait for their deadline while nothing can serve them.
    @Test
    void jobsOfAServiceWhoseUpstreamsAreAllEvacuatedFailWithinTheGap() {
        upstreams("u");
        submit("busy", 4, 0, 10, 9_000);
        advance(10);
        Outcome waiting = submit("waiting", 1, 0, 10, 9_000);
        advance(10);
        upstreams.evacuate("d");
        advance(1_100);
        assertThat(waiting.failure).isEqualTo(StageFailure.UPSTREAM_FAILED);

        Outcome later = submit("later", 1, 0, 10, 9_000);
        advance(1);
        assertThat(later.failure).isEqualTo(StageFailure.UPSTREAM_FAILED);
    }

    // Guards against jobs that fail between the old entry of an upstream and its new one.
    @Test
    void jobsWaitForAnUpstreamThatIsReplaced() {
        upstreams("u");
        advance(10);
        upstreams.remove("u", loop.nowMillis());
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(800);
        assertThat(outcome.failure).isNull();
        upstreams("v");
        advance(100);
        calls.get(0).done();
        assertThat(outcome.results).hasSize(1);
    }

    // Guards against jobs that wait although the next probe comes too late for them.
    @Test
    void aJobThatCannotWaitForTheNextProbeOfUnreachableUpstreamsFailsAtOnce() {
        upstreams("u");
        Outcome tight = submit("tight", 1, 0, 10, 1_500);
        Outcome patient = submit("patient", 1, 0, 10, 9_000);
        refuseCallsTo("u", 1_000);
        assertThat(tight.failure).isEqualTo(StageFailure.LATE);
        assertThat(patient.failure).isNull();
    }

    // Guards against a service that stands still because a fast upstream is listed, but gone.
    @ParameterizedTest
    @EnumSource(
            value = StageCallFailure.class,
            names = {"NOT_SENT", "MISDIRECTED"})
    void slowUpstreamsAreUsedWhileNoFastOneCanBeCalled(StageCallFailure failure) {
        upstreams("slow", "gone");
        for (int i = 0; i < 6; i++) {
            submit("first" + i, 4, 0, 10, 60_000, 60_000, List.of());
        }
        long goneCalls = 0;
        for (int i = 0; i < 60; i++) {
            advance(100);
            for (Call call : List.copyOf(calls)) {
                if (call.target().id().equals("gone") && ended.add(call)) {
                    call.listener().onFailure(failure, "gone");
                    goneCalls++;
                } else if (i % 8 == 7 && ended.add(call)) {
                    call.done();
                }
            }
            submit("next" + i, 1, 0, 10, 60_000, 60_000, List.of());
        }
        long slowCalls = calls.size() - goneCalls;

        assertThat(slowCalls).isAtLeast(6L);
    }

    // Guards against calls to a restarted process until the old entry goes; each spends retries.
    @Test
    void anUpstreamWhoseAddressBelongsToAnotherOneGetsNoMoreCalls() {
        upstreams("u", "v");
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(1);
        String replaced = calls.get(0).target().id();
        calls.get(0).listener().onFailure(StageCallFailure.MISDIRECTED, "status 421");
        advance(100);
        calls.get(1).done();
        for (int i = 0; i < 3; i++) {
            submit("b" + i, 1, 0, 10, 9_000);
            advance(500);
            calls.get(calls.size() - 1).done();
        }

        assertThat(outcome.results).hasSize(1);
        assertThat(calls.stream().skip(1).map(call -> call.target().id()).toList())
                .doesNotContain(replaced);
    }

    @Test
    void aCallWithoutAnswerTimesOut() {
        upstreams("u", "v");
        submit("a", 1, 0, 10, 9_000);
        advance(2_000);
        assertThat(calls).hasSize(2);
        calls.get(0).done();
        assertThat(freed).isEmpty();
    }

    @Test
    void inputsAreRetainedLongerAfterACallFoundThemGone() {
        upstreams("u");
        StageResult input = new StageResult("t", "h", "m", "d", 10);
        for (int i = 0; i < 3; i++) {
            submit("a" + i, 1, 0, 10, 9_000, List.of(input));
            advance(45L << i);
            assertThat(inputsReleased).hasSize(i + 1);
            calls.get(i).all(StageItemOutcome.Kind.INPUT_GONE);
            advance(10);
        }
        submit("b", 1, 0, 10, 9_000, List.of(input));
        advance(300);
        assertThat(inputsReleased).hasSize(3);
        advance(30);
        assertThat(inputsReleased).hasSize(4);
    }

    @Test
    void aNewOwnerRetainsInputsWhileCallsOfTheFormerOneMayBeQueued() {
        upstreams("u");
        dispatcher.becomeOwner();
        StageResult input = new StageResult("t", "h", "m", "d", 10);
        submit("a", 1, 0, 10, 9_000, List.of(input));
        advance(400);
        assertThat(inputsReleased).isEmpty();
        calls.get(0).done();
        advance(1_000);
        submit("b", 1, 0, 10, 9_000, List.of(input));
        advance(100);
        assertThat(inputsReleased).containsExactly(input);
    }

    @Test
    void inputsAreReleasedOnceTheCallHasReadThem() {
        upstreams("u");
        StageResult input = new StageResult("t", "h", "m", "d", 10);
        submit("a", 2, 0, 10, 9_000, List.of(input));
        advance(10);
        assertThat(inputsReleased).isEmpty();
        advance(100);
        assertThat(inputsReleased).containsExactly(input);
    }

    // CONFIG: a result was freed while another stage of its request still needed it.
    @Test
    void inputsThatAnotherStageNeedsAreLeftToTheSubmitter() {
        upstreams("u");
        StageResult own = new StageResult("t", "own", "m", "d", 10);
        StageResult ofBoth = new StageResult("t", "of both", "m", "d", 10);
        shared.add(ofBoth);
        submit("a", 2, 0, 10, 9_000, List.of(own, ofBoth));
        advance(1_000);
        assertThat(inputsReleased).containsExactly(own);
        calls.get(0).done();
        advance(1_000);
        assertThat(inputsReleased).containsExactly(own);
    }

    @Test
    void resultsOfACancelledRequestAreFreed() {
        upstreams("u");
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(1);
        dispatcher.cancel("a");
        calls.get(0).done();
        advance(100);
        assertThat(outcome.results).isEmpty();
        assertThat(freed).containsExactly("a0");
    }

    @Test
    void aLeavingUpstreamGetsNoCall() {
        upstreams("u");
        upstreams.put(new UpstreamEntry("u", "s", "10.0.0.1:80", "d", 1, 0, true), 0);
        submit("a", 1, 0, 10, 9_000);
        advance(500);
        assertThat(calls).isEmpty();
    }

    @Test
    void aCallToALimitedUpstreamNeedsAPermit() {
        upstreams("u1");
        permits.limit("u1");
        submit("a", 2, 0, 10, 5_000);
        scheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        assertThat(calls).isEmpty();
        assertThat(permits.questions()).hasSize(1);

        permits.decide(PermitDecision.GRANTED);
        assertThat(calls).hasSize(1);
        submit("b", 2, 0, 10, 5_000);
        calls.get(0).done();
        scheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        assertThat(calls).hasSize(1);
        assertThat(permits.questions()).hasSize(2);
    }

    @Test
    void anExpiredPermitIsNotUsed() {
        upstreams("u1");
        permits.limit("u1");
        submit("a", 2, 0, 10, 5_000);
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        dispatcher.cancel("a");
        permits.decide(PermitDecision.GRANTED);
        scheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        submit("b", 2, 0, 10, 5_000);
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        assertThat(calls).isEmpty();
        assertThat(permits.questions()).hasSize(2);
    }

    @Test
    void freeingResultsAtALimitedUpstreamNeedsAPermit() {
        upstreams("u1");
        Outcome outcome = submit("a", 2, 0, 10, 5_000);
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        calls.get(0).done();
        permits.limit("u1");
        dispatcher.release(outcome.results);
        scheduler.advanceTimeBy(300, TimeUnit.MILLISECONDS);
        assertThat(freed).isEmpty();
        permits.decide(PermitDecision.GRANTED);
        scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        assertThat(freed).hasSize(2);
    }

    private void announce(String id, boolean leaving, long pauseMillis) {
        upstreams
                .announcements()
                .announced(
                        new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 0, false),
                        new Announcement(
                                Announcement.Origin.NEVER_RAN,
                                AnnouncedLimit.NONE,
                                leaving,
                                pauseMillis > 0
                                        ? OptionalLong.of(pauseMillis)
                                        : OptionalLong.empty()),
                        loop.nowMillis(),
                        loop.nowMillis());
    }

    // Guards against stage calls to an upstream that is paused or has announced that it leaves.
    @Test
    void noCallGoesToAPausedOrLeavingUpstream() {
        upstreams("u1", "u2", "u3");
        announce("u1", false, 1_000);
        announce("u2", true, 0);
        submit("a", 4, 0, 10, 9_000);
        submit("b", 4, 0, 10, 9_000);
        advance(1);
        assertThat(calls).hasSize(1);
        assertThat(calls.get(0).target().id()).isEqualTo("u3");
        advance(1_100);
        assertThat(calls).hasSize(2);
        assertThat(calls.get(1).target().id()).isEqualTo("u1");
    }

    private void reportLoad(String id, double slowness) {
        upstreams
                .announcements()
                .announced(
                        new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 0, false),
                        new Announcement(
                                Announcement.Origin.GOOD,
                                AnnouncedLimit.NONE,
                                false,
                                OptionalLong.empty(),
                                Optional.of(new ReportedLoad(0, 0, 1, slowness))),
                        loop.nowMillis(),
                        loop.nowMillis());
    }

    // Guards against work for an upstream that reports to be slow while another one is idle.
    @Test
    void ofTwoIdleUpstreamsTheOneThatReportsLessSlownessIsCalled() {
        upstreams("u1", "u2");
        reportLoad("u1", 2.5);
        submit("a", 4, 0, 10, 9_000);
        advance(1);
        assertThat(calls.get(0).target().id()).isEqualTo("u2");
    }

    // Guards against a slow time of some hundred milliseconds that counts long after its end.
    @Test
    void aReportedSlownessIsForgottenWithinSeconds() {
        upstreams("u1", "u2");
        reportLoad("u1", 2.5);
        advance(5_000);
        submit("a", 4, 0, 10, 9_000);
        advance(1);
        assertThat(calls.get(0).target().id()).isEqualTo("u1");
    }

    // Guards against a call that was slow for a reported and temporary reason and makes its
    // upstream
    // count as slow for good.
    @Test
    void aDurationThatTheUpstreamExplainsDoesNotMakeItSlow() {
        upstreams("u1", "u2");
        submit("a", 4, 0, 10, 9_000);
        advance(1);
        Call slow = calls.get(0);
        advance((long) (2.4 * (POOL.callMillis() + POOL.batch() * POOL.pieceMillis())));
        reportLoad(slow.target().id(), 2.5);
        slow.done();
        advance(5_000);
        submit("b", 4, 0, 10, 9_000);
        advance(1);
        assertThat(calls.get(1).target()).isEqualTo(slow.target());
    }

    // Guards against queueing new requests while all upstreams are paused beyond the deadline.
    @Test
    void aNewRequestIsRefusedAtOnceIfAllUpstreamsArePausedForTooLong() {
        upstreams("u1", "u2");
        announce("u1", false, 5_000);
        announce("u2", false, 6_000);
        first = true;
        Outcome refused = submit("a", 1, 0, 10, 2_000, 4_000, List.of());
        Outcome taken = submit("b", 1, 0, 10, 6_000, 9_000, List.of());
        advance(1);
        assertThat(refused.failure).isEqualTo(StageFailure.LATE);
        assertThat(taken.failure).isNull();
        assertThat(dispatcher.expectedWaitMillis(0)).isAtLeast(4_900);
    }

    @Test
    void aNewRequestIsRefusedAtOnceIfNoUpstreamIsLeft() {
        upstreams("u1");
        announce("u1", true, 0);
        first = true;
        Outcome refused = submit("a", 1, 0, 10, 9_000);
        advance(1);
        assertThat(refused.failure).isEqualTo(StageFailure.LATE);
    }

    // Guards against an owner that refuses jobs before it has loaded the upstreams from the store.
    @Test
    void aNewRequestIsQueuedUntilTheOwnerHasLoadedTheUpstreams() {
        first = true;
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(100);
        assertThat(outcome.failure).isNull();
        upstreams("u1");
        advance(100);
        assertThat(calls).hasSize(1);
    }

    @Test
    void resultsAreFreedAfterThePauseOfTheirUpstreamAndNotIfItLeaves() {
        upstreams("u1");
        submit("a", 1, 0, 10, 9_000);
        advance(1);
        calls.get(0).done();
        announce("u1", false, 500);
        dispatcher.release(List.of(new StageResult("s", "a0", "u1", "d", 10)));
        advance(400);
        assertThat(freed).isEmpty();
        advance(200);
        assertThat(freed).containsExactly("a0");
        announce("u1", true, 0);
        dispatcher.release(List.of(new StageResult("s", "b0", "u1", "d", 10)));
        advance(400);
        assertThat(freed).containsExactly("a0");
    }

    @Test
    void aStallOfTheRouterIsNotTakenForATimeoutOfItsStageCalls() {
        StallingScheduler stalling = new StallingScheduler();
        Loop stallingLoop = new Loop(stalling, () -> 0);
        StageDispatcher stalled =
                new StageDispatcher(
                        "s",
                        service -> Optional.of(POOL),
                        upstreams,
                        permits,
                        new Port(),
                        new SharedRetryBudget(0, 100, 10_000, 1),
                        stallingLoop,
                        inputsReleased::addAll,
                        () -> shedsByCost);
        upstreams("u");
        Outcome outcome = new Outcome();
        stalled.submit(
                new StageJob(
                        "a",
                        0,
                        "s",
                        1,
                        Optional.of("k"),
                        List.of(),
                        List.of(),
                        10,
                        0,
                        9_000,
                        9_000,
                        300,
                        100,
                        "d",
                        false),
                outcome,
                true);
        stalling.advance(100);
        assertThat(calls).hasSize(1);
        stalling.stall(2_000);
        calls.get(0).done();
        assertThat(outcome.results).hasSize(1);
    }

    // LOST: jobs of a service that a configuration dropped were held until their callers had left.
    @Test
    void jobsOfADroppedServiceFailWhileTheirRequestsCanStillBeAnswered() {
        upstreams("u");
        Outcome running = submit("running", 4, 0, 10, 9_000);
        advance(10);
        Outcome waiting = submit("waiting", 1, 0, 10, 1_000);
        pool = Optional.empty();
        Outcome submitted = submit("submitted", 1, 0, 10, 1_000);
        advance(980);
        assertThat(waiting.failure).isEqualTo(StageFailure.LATE);
        assertThat(submitted.failure).isEqualTo(StageFailure.LATE);
        calls.get(0).done();
        assertThat(running.results).hasSize(4);
        assertThat(dispatcher.openJobs()).isEqualTo(0);
    }

    // An owner whose configuration was older than its submitter's failed the jobs of a service.
    @Test
    void aJobOfAServiceThatIsDroppedAndBroughtBackIsRun() {
        upstreams("u");
        submit("first", 1, 0, 10, 9_000);
        advance(10);
        calls.get(0).done();
        advance(100);
        pool = Optional.empty();
        advance(1_000);
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(60);
        pool = Optional.of(POOL);
        advance(100);
        calls.get(1).done();
        assertThat(outcome.results).hasSize(1);
    }

    // LOST: a job of a service that its owner did not know yet was held until its caller had left.
    @Test
    void aJobOfAnUnknownServiceFailsWhileItsRequestCanStillBeAnswered() {
        upstreams("u");
        pool = Optional.empty();
        Outcome outcome = submit("a", 1, 0, 10, 1_000);
        advance(800);
        assertThat(outcome.failure).isNull();
        advance(180);
        assertThat(outcome.failure).isEqualTo(StageFailure.LATE);
    }

    @Test
    void aJobThatArrivesBeforeTheConfigurationOfItsServiceIsRun() {
        upstreams("u");
        pool = Optional.empty();
        Outcome outcome = submit("a", 1, 0, 10, 9_000);
        advance(500);
        pool = Optional.of(POOL);
        advance(100);
        calls.get(0).done();
        assertThat(outcome.results).hasSize(1);
    }

    // Neither a stage call nor the freeing of results may reach an evacuated upstream.
    @Test
    void anUpstreamInAnEvacuatedDomainGetsNoCallAndIsNotAskedToFreeResults() {
        upstreams("u");
        Outcome outcome = submit("a", 2, 0, 10, 5_000);
        advance(10);
        upstreams.evacuate("d");
        calls.get(0).done();
        assertThat(outcome.results).hasSize(2);
        dispatcher.release(outcome.results);
        submit("b", 1, 0, 10, 9_000);
        advance(500);
        assertThat(calls).hasSize(1);
        assertThat(freed).isEmpty();

        upstreams.domainReturned("d", 0);
        advance(500);
        assertThat(calls).hasSize(2);
        assertThat(freed).isEmpty();
    }

    /** Submits one large job, then small ones with a later objective, behind a running call. */
    private void largeBeforeSmall(int smallJobs, long smallObjectiveMillis) {
        upstreams("u");
        submit("busy", 4, 0, 10, 9_000);
        advance(279);
        submit("large", 8, 0, 10, 900, 9_000, List.of());
        for (int i = 0; i < smallJobs; i++) {
            submit("small" + i, 2, 0, 10, smallObjectiveMillis, 9_000, List.of());
        }
        advance(1);
        calls.get(0).done();
        advance(1);
    }

    // Guards against one large request that makes several small ones late.
    @Test
    void smallJobsPrecedeALargeOneThatWouldMakeThemLateWhereWorkspacesDiffer() {
        shedsByCost = true;
        largeBeforeSmall(4, 1_300);
        assertThat(calls.get(1).ids())
                .containsExactly("small0/0", "small0/1", "small1/0", "small1/1");
        assertThat(dispatcher.displacedTasks()).isEqualTo(1);
        assertThat(dispatcher.shedTasks()).isEqualTo(0);
    }

    // Guards against a change for configurations that do not use the priority of workspaces.
    @Test
    void orderIsByObjectiveWhereWorkspacesDoNotDiffer() {
        largeBeforeSmall(4, 1_300);
        assertThat(calls.get(1).ids()).containsExactly("large/0", "large/1", "large/2", "large/3");
        assertThat(dispatcher.displacedTasks()).isEqualTo(0);
    }

    // Guards against a policy that changes the order although all are on time.
    @Test
    void orderIsByObjectiveWhereAllAreOnTime() {
        shedsByCost = true;
        largeBeforeSmall(1, 1_600);
        assertThat(calls.get(1).ids()).containsExactly("large/0", "large/1", "large/2", "large/3");
        assertThat(dispatcher.displacedTasks()).isEqualTo(0);
    }

    // Guards against a refused request that has started work.
    @Test
    void requestThatWouldBeShedIsRefusedAtOnceWithoutACall() {
        shedsByCost = true;
        overload();
        first = true;
        int callsBefore = calls.size();
        Outcome refused = submit("new", 1, 1, 10, 1_000, 6_000, List.of());
        advance(1);
        assertThat(refused.failure).isEqualTo(StageFailure.LATE);
        assertThat(dispatcher.shedTasks()).isEqualTo(1);
        assertThat(calls).hasSize(callsBefore);
        assertThat(calls.stream().flatMap(call -> call.ids().stream()).toList())
                .doesNotContain("new/0");
    }

    // Guards against requests of an urgent workspace that are refused behind less urgent ones.
    @Test
    void urgentRequestIsAcceptedWhereALessUrgentOneIsRefused() {
        shedsByCost = true;
        overload();
        first = true;
        dispatcher.cancel("urgent29");
        Outcome lessUrgent = submit("less urgent", 1, 5, 10, 1_000, 6_000, List.of());
        Outcome urgent = submit("more urgent", 1, 0, 10, 900, 60_000, List.of());
        advance(1);
        assertThat(lessUrgent.failure).isEqualTo(StageFailure.LATE);
        assertThat(urgent.failure).isNull();
    }
}
