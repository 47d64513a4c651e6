package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bronzewheel.catalog.RepeatRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.StageFailure;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays what upstreams do to a request and checks what the caller is told. */
class RequestRunTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    /** What the first upstream does, with the outcome for a request that runs at most once. */
    @SuppressWarnings("ImmutableEnumChecker")
    private enum Fault {
        REJECTED(s -> s.listener.onHead(head(503, false, true)), true, 0),
        MISDIRECTED(
                s -> s.listener.onHead(new UpstreamHead(421, List.of(), false, true, true, false)),
                true,
                0),
        NOT_CONNECTED(s -> s.listener.onFailure(CallFailure.NOT_SENT, "refused"), true, 0),
        BROKEN_BEFORE_HEAD(s -> s.listener.onFailure(CallFailure.BROKEN, "reset"), false, 502),
        BROKEN_IN_BODY(
                s -> {
                    s.head(200);
                    s.data("par");
                    s.listener.onFailure(CallFailure.BROKEN, "reset");
                },
                false,
                502),
        UNSIGNED_SUCCESS(s -> s.listener.onHead(head(200, false, false)), false, 502),
        ENCODED_SUCCESS(
                s -> s.listener.onHead(new UpstreamHead(200, List.of(), true, false, false, true)),
                false,
                502),
        // A 503 without the statement that the request did not run promises nothing.
        PLAIN_503(s -> s.listener.onHead(head(503, true, false)), false, 502),
        UNSIGNED_500(s -> s.listener.onHead(head(500, false, false)), false, 502);

        private final Consumer<World.Sent> act;
        private final boolean proved;
        private final int failure;

        Fault(Consumer<World.Sent> act, boolean proved, int failure) {
            this.act = act;
            this.proved = proved;
            this.failure = failure;
        }

        private static UpstreamHead head(int status, boolean signed, boolean neverRan) {
            return new UpstreamHead(status, List.of(), signed, neverRan, false, false);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestThatRunsAtMostOnceIsSentAgainOnlyWhereItIsProvedNotToHaveRun(Fault fault) {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)).request();
        fault.act.accept(world.lastSend());
        world.advance(100);

        assertThat(world.sends).hasSize(fault.proved ? 2 : 1);
        assertThat(world.refusedWith()).isEqualTo(fault.failure);
        if (fault.proved) {
            world.lastSend().answer(200);
            assertThat(world.body.toString()).isEqualTo("body");
            assertThat(world.finished).isTrue();
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anIdempotentRequestIsAnsweredByAnotherUpstreamAfterAnyFault(Fault fault) {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2)).request();
        fault.act.accept(world.lastSend());
        world.advance(100);

        assertThat(world.sends).hasSize(2);
        assertThat(world.sends.get(1).call.target().id())
                .isNotEqualTo(world.sends.get(0).call.target().id());
        world.lastSend().answer(200);
        assertThat(world.status).isEqualTo(200);
        assertThat(world.body.toString()).isEqualTo("body");
        assertThat(world.refusals).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRefusalIsToldOnlyOfARequestThatNeverRan(Fault fault) {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        World world = new World(none).with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        world.request();
        for (int i = 0; i < 8 && world.refusals.isEmpty(); i++) {
            fault.act.accept(world.lastSend());
            world.advance(100);
        }

        assertWithMessage("status").that(world.refusedWith()).isEqualTo(fault.proved ? 503 : 502);
    }

    @Test
    void anUpstreamsOwnFailureIsPassedOnUnchanged() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)).request();
        world.lastSend().answer(500);

        assertThat(world.status).isEqualTo(500);
        assertThat(world.body.toString()).isEqualTo("body");
        assertThat(world.sends).hasSize(1);
    }

    @Test
    void aResumableStreamGoesOnElsewhereAfterItsLastWholeEvent() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1 + "id: 2\nda");
        world.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");

        World.Sent second = world.lastSend();
        assertThat(second.call.resumeAfter()).hasValue(1L);
        second.head(200);
        second.data(EVENT_1 + EVENT_2);
        second.listener.onEnd();
        assertThat(world.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(world.finished).isTrue();
        assertThat(world.aborted).isFalse();
    }

    @Test
    void aStreamThatMayNotGoOnElsewhereIsBrokenOff() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        world.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");

        assertThat(world.sends).hasSize(1);
        assertThat(world.aborted).isTrue();
        assertThat(world.finished).isFalse();
    }

    @Test
    void aStreamThatEndsWithinAnEventIsNotComplete() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, true, 1)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1 + "id: 2\nda");
        world.sends.get(0).listener.onEnd();

        assertThat(world.finished).isFalse();
        assertThat(world.aborted).isTrue();
    }

    @Test
    void aSilentUpstreamIsLeftWhereTheRequestMayBeRepeated() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        world.advance(1_000);

        assertThat(world.sends).hasSize(2);
        assertThat(world.sends.get(0).cancelled).isTrue();
        assertThat(world.sends.get(1).call.resumeAfter()).hasValue(1L);
    }

    @Test
    void aSilentUpstreamIsWaitedForWhereTheRequestRunsAtMostOnce() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 2)).request();
        world.advance(2_900);
        assertThat(world.refusals).isEmpty();

        world.advance(200);
        assertThat(world.refusedWith()).isEqualTo(504);
        assertThat(world.sends.get(0).cancelled).isTrue();
    }

    @Test
    void theBudgetBoundsRepeats() {
        SharedRetryBudget one = new SharedRetryBudget(0, 1, 10_000, 1);
        World world = new World(one).with(World.route(RepeatRule.IDEMPOTENT, false, 3)).request();
        world.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        world.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        world.advance(100);

        assertThat(world.sends).hasSize(2);
        assertThat(world.refusedWith()).isEqualTo(502);
    }

    @Test
    void aRouterKeepsToItsPartOfTheConnectionsOfAnUpstream() {
        // Nine connections of each upstream, of which three are this router's.
        SharedRetryBudget three = new SharedRetryBudget(0, 0, 10_000, 3);
        World world = new World(three).with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        for (int i = 0; i < 9; i++) {
            world.request();
        }
        assertThat(world.sends).hasSize(9);
        world.request();
        assertThat(world.sends).hasSize(9);
        assertThat(world.refusedWith()).isEqualTo(503);
    }

    @Test
    void aCallerThatLeavesCancelsTheSend() {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2)).request();
        World.Sent sent = world.lastSend();
        world.running.callerDisconnected();

        assertThat(sent.cancelled).isTrue();
        assertThat(world.end).isEqualTo(RequestOutcome.CANCELLED);
        assertThat(world.engine.runningRequests()).isEqualTo(0);
    }

    @Test
    void keysAreHonouredOnlyWhileTheConfigurationIsKnownToBeFresh() {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2));
        world.advance(World.LEASE_MILLIS + 1).request();

        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.refusals.get(0).retryAfterMillis()).isPresent();
        assertThat(world.sends).isEmpty();
    }

    @Test
    void anUnknownKeyIsUnauthorized() {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2));
        world.request("other", List.of());
        assertThat(world.refusedWith()).isEqualTo(401);
    }

    @Test
    void aKeyThatIsRevokedWhileTheRequestWaitsForItsStagesIsNotHonoured() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2, steps));
        world.request("key", List.of(1));
        world.with(2, World.route(RepeatRule.RESUMABLE, true, 2, steps), List.of());
        world.jobs.get(0).done();
        world.advance(10);

        assertThat(world.sends).isEmpty();
        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.released).hasSize(1);
    }

    @Test
    void resultsOfStagesAreHandedOnOnceAndFreedOnceRead() {
        List<StageStep> steps =
                List.of(new StageStep("e", List.of(), 10), new StageStep("f", List.of(0), 10));
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2, steps));
        world.request("key", List.of(1, 2));
        assertThat(world.jobs).hasSize(1);
        world.jobs.get(0).done();
        assertThat(world.jobs.get(1).job().inputs()).hasSize(1);
        world.jobs.get(1).done();

        World.Sent sent = world.lastSend();
        assertThat(sent.call.inputs()).containsExactly("1/0", "1/1").inOrder();
        sent.head(200);
        sent.data(EVENT_1);
        assertThat(world.released).hasSize(3);
    }

    @Test
    void stagesAreMadeAgainOnceWhereAResultIsGone() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, true, 1, steps));
        world.request("key", List.of(1));
        world.jobs.get(0).done();
        world.lastSend()
                .listener
                .onHead(new UpstreamHead(409, List.of(), false, true, false, false));
        assertThat(world.jobs).hasSize(2);

        world.jobs.get(1).fail(StageFailure.LATE);
        assertThat(world.refusedWith()).isEqualTo(503);
    }

    @Test
    void aResumedStreamWhoseStagesFailIsBrokenOffAndNotRefused() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2, steps));
        world.request("key", List.of(1));
        world.jobs.get(0).done();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        world.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        world.advance(10);
        assertThat(world.jobs).hasSize(2);

        world.jobs.get(1).fail(StageFailure.LATE);
        assertThat(world.refusals).isEmpty();
        assertThat(world.aborted).isTrue();
    }

    @Test
    void aRequestThatMayHaveRunIsNeverToldThatItDidNot() {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2)).request();
        world.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        world.with(2, World.route(RepeatRule.IDEMPOTENT, false, 2), List.of());
        world.advance(10);

        assertThat(world.sends).hasSize(1);
        assertThat(world.refusedWith()).isEqualTo(502);
    }

    @Test
    void aStreamWhoseCallerWouldLeaveInTheQueuesIsRefusedAtOnce() {
        World world = new World();
        world.expectedWaitMillis = 1_200;
        world.with(World.route(RepeatRule.AT_MOST_ONCE, true, 1, oneStage()))
                .request("key", List.of(1));
        assertThat(world.refusedWith()).isEqualTo(Refusal.UNAVAILABLE);
        assertThat(world.jobs).isEmpty();
    }

    @Test
    void theOwnersLearnWhatARequestThatWasRefusedAtTheDoorAskedFor() {
        World world = new World();
        world.expectedWaitMillis = 60_000;
        world.with(World.route(RepeatRule.AT_MOST_ONCE, true, 1, oneStage()))
                .request("key", List.of(3));
        assertThat(world.refusedWith()).isEqualTo(Refusal.UNAVAILABLE);
        assertThat(world.unmetPieces).containsExactly("s", 3);
    }

    @Test
    void aStreamThatIsStillInItsStagesIsRefusedBeforeItsCallerLeaves() {
        World world =
                new World()
                        .with(World.route(RepeatRule.AT_MOST_ONCE, true, 1, oneStage()))
                        .request("key", List.of(1));
        assertThat(world.jobs.get(0).job().deadlineAtMillis())
                .isEqualTo(World.CALLER_SILENCE_MILLIS);
        world.advance(World.CALLER_SILENCE_MILLIS - 100);
        assertThat(world.refusedWith()).isEqualTo(Refusal.UNAVAILABLE);
    }

    @Test
    void aStreamThatWasSentIsNotRefusedForItsCallersSilence() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, true, 1)).request();
        world.lastSend();
        world.advance(World.CALLER_SILENCE_MILLIS);
        assertThat(world.refusals).isEmpty();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        world.lastSend().listener.onEnd();
        assertThat(world.finished).isTrue();
    }

    @Test
    void aStageKnowsTheQueuesOfTheStagesAfterItAndTheTimeToReadThePrompt() {
        World world = new World();
        world.expectedWaitMillis = 200;
        List<StageStep> chain =
                List.of(
                        new StageStep("s", List.of(), 10),
                        new StageStep("s", List.of(0), 10),
                        new StageStep("s", List.of(1), 10));
        world.with(World.route(RepeatRule.AT_MOST_ONCE, false, 1, chain))
                .request("key", List.of(1, 1, 1));
        long engineMillis = 161;
        long stageMillis = 200 + World.CALL_MILLIS;
        assertThat(world.jobs.get(0).job().laterMillis()).isEqualTo(2 * stageMillis + engineMillis);
        world.jobs.get(0).done();
        assertThat(world.jobs.get(1).job().laterMillis()).isEqualTo(stageMillis + engineMillis);
    }

    private static List<StageStep> oneStage() {
        return List.of(new StageStep("s", List.of(), 10));
    }

    @Test
    void aRequestGoesToAnUpstreamThatLimitsWhatItTakesOnlyWithAPermit() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        List.of("u1", "u2", "u3").forEach(world.permits::limit);
        world.request();
        assertThat(world.sends).isEmpty();

        world.permits.decide(PermitDecision.GRANTED);
        world.lastSend().answer(200);
        assertThat(world.finished).isTrue();
        assertThat(world.sends).hasSize(1);
        assertThat(world.permits.questions()).hasSize(1);
    }

    @Test
    void aRequestWithoutAPermitGoesToAnotherUpstreamAndDrawsOnNoBudget() {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        World world = new World(none).with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        world.permits.limit("u1");
        world.request();
        assertThat(world.permits.questions().get(0).patienceMillis()).isEqualTo(0);

        world.permits.close("u1", 700);
        world.permits.decide(PermitDecision.refusedFor(700));
        assertThat(world.lastSend().call.target().id()).isNotEqualTo("u1");
        world.lastSend().answer(200);
        assertThat(world.finished).isTrue();
    }

    @Test
    void whereNoUpstreamHasAPermitTheRequestIsRefusedAtOnceWithTheTimeUntilOneHas() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        List.of("u1", "u2", "u3").forEach(id -> world.permits.close(id, 600));
        world.request();
        assertThat(world.sends).isEmpty();
        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(600);
    }

    @Test
    void aPermitOfAnUpstreamThatHasLeftMeanwhileIsNotUsed() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        world.permits.limit("u1");
        world.request();
        world.upstreams.remove("u1", 0);
        world.permits.decide(PermitDecision.GRANTED);
        assertThat(world.lastSend().call.target().id()).isNotEqualTo("u1");
    }

    /** Lets the first upstreams ask for pauses, in milliseconds. */
    private static World paused(World world, long... millis) {
        for (int i = 0; i < millis.length; i++) {
            world.say(
                    "u" + (i + 1),
                    new Announcement(
                            Announcement.Origin.NEVER_RAN,
                            AnnouncedLimit.NONE,
                            false,
                            OptionalLong.of(millis[i])));
        }
        return world;
    }

    private static World leaving(World world, String... ids) {
        for (String id : ids) {
            world.say(
                    id,
                    new Announcement(
                            Announcement.Origin.GOOD,
                            AnnouncedLimit.NONE,
                            true,
                            OptionalLong.empty()));
        }
        return world;
    }

    // Guards against requests into a pause.
    @Test
    void aRequestGoesToAnUpstreamThatDoesNotPause() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        paused(world, 900, 900).request();
        assertThat(world.lastSend().call.target().id()).isEqualTo("u3");
    }

    // Guards against work for an upstream that leaves, whatever the store says.
    @Test
    void aRequestGoesToAnUpstreamThatStays() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        leaving(world, "u1", "u3").request();
        assertThat(world.lastSend().call.target().id()).isEqualTo("u2");
    }

    // Guards against requests that wait for their deadline while all upstreams pause.
    @Test
    void whereAllUpstreamsPauseARequestIsRefusedAtOnceUntilTheFirstPauseEnds() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
        paused(world, 600, 700, 900).request();
        assertThat(world.sends).isEmpty();
        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(600);
    }

    @Test
    void whereAllUpstreamsLeaveARequestIsRefusedAtOnce() {
        World world = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 2));
        leaving(world, "u1", "u2", "u3").request();
        assertThat(world.sends).isEmpty();
        assertThat(world.refusedWith()).isEqualTo(503);
    }

    // Guards against stage work for a request that no engine will take.
    @Test
    void noStageBeginsWhileAllUpstreamsThatFollowPauseForLonger() {
        World world =
                new World()
                        .with(
                                World.route(
                                        RepeatRule.RESUMABLE,
                                        true,
                                        2,
                                        List.of(new StageStep("t", List.of(), 10))));
        paused(world, 2_000, 2_000, 2_000).request("key", List.of(1));
        assertThat(world.jobs).isEmpty();
        assertThat(world.refusedWith()).isEqualTo(503);
    }

    // Guards against a send by a permit that was asked for before its upstream paused or left.
    @Test
    void aPermitIsNotUsedForAnUpstreamThatPausesOrLeavesMeanwhile() {
        for (boolean pauses : List.of(true, false)) {
            World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1));
            leaving(world, "u2", "u3");
            world.permits.limit("u1");
            world.request();
            if (pauses) {
                paused(world, 900);
            } else {
                leaving(world, "u1");
            }
            world.permits.decide(PermitDecision.GRANTED);
            assertThat(world.sends).isEmpty();
            assertThat(world.refusedWith()).isEqualTo(503);
        }
    }

    @Test
    void whatIsWithheldFromAnUpstreamGoesElsewhereAndItsHealthIsNotBlamed() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)).request();
        World.Sent first = world.lastSend();
        first.listener.onFailure(CallFailure.WITHHELD, "it pauses");
        World.Sent second = world.lastSend();
        assertThat(second.call.target().id()).isNotEqualTo(first.call.target().id());
        second.answer(200);
        assertThat(world.body.toString()).isEqualTo("body");
    }

    @Test
    void aStreamAtAnUpstreamThatLeavesGoesOn() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        leaving(world, world.lastSend().call.target().id());
        world.lastSend().data(EVENT_2);
        world.lastSend().listener.onEnd();
        assertThat(world.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(world.sends).hasSize(1);
    }

    @Test
    void aStreamIsNotResumedAtAnUpstreamThatLeavesOrPauses() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        String first = world.lastSend().call.target().id();
        List<String> others =
                List.of("u1", "u2", "u3").stream().filter(id -> !id.equals(first)).toList();
        leaving(world, others.get(0));
        world.lastSend().listener.onFailure(CallFailure.BROKEN, "crash");
        assertThat(world.lastSend().call.target().id()).isEqualTo(others.get(1));
    }

    @Test
    void aSlowStreamThatCannotGoOnElsewhereIsNotCut() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 1)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        world.advance(2_000);
        assertThat(world.aborted).isFalse();

        world.lastSend().data(EVENT_2);
        world.sends.get(0).listener.onEnd();
        assertThat(world.finished).isTrue();
        assertThat(world.sends).hasSize(1);
    }

    @Test
    void aSlowAnswerIsWaitedForWhereNoOtherUpstreamOrBudgetIsLeft() {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        World world = new World(none).with(World.route(RepeatRule.IDEMPOTENT, false, 3)).request();
        world.advance(1_500);
        assertThat(world.refusals).isEmpty();
        world.lastSend().answer(200);
        assertThat(world.finished).isTrue();

        World alone = new World().with(World.route(RepeatRule.IDEMPOTENT, false, 3));
        alone.upstreams.remove("u2", 0);
        alone.upstreams.remove("u3", 0);
        alone.request().advance(1_500);
        assertThat(alone.refusals).isEmpty();
        alone.lastSend().answer(200);
        assertThat(alone.finished).isTrue();
    }

    @Test
    void aStalledStreamThatSendsAByteNowAndThenIsLeft() {
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2)).request();
        world.lastSend().head(200);
        world.lastSend().data(EVENT_1);
        for (int i = 0; i < 20; i++) {
            world.sends.get(0).listener.onData(new byte[] {':'});
            world.advance(100);
        }
        assertThat(world.sends).hasSize(2);
        assertThat(world.sends.get(0).cancelled).isTrue();
        assertThat(world.sends.get(1).call.resumeAfter()).hasValue(1L);
    }

    @Test
    void stagesBeginWithAPermitWhereAllUpstreamsThatFollowLimitWhatTheyTake() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2, steps));
        world.permits.limit("s");
        world.request("key", List.of(1));
        assertThat(world.jobs).isEmpty();
        assertThat(world.permits.questions().get(0).kind()).isEqualTo(PermitKind.ENTRY);
        world.permits.decide(PermitDecision.GRANTED);
        assertThat(world.jobs).hasSize(1);

        world.request("key", List.of(1));
        world.permits.decide(new PermitDecision(false, 450, 80));
        assertThat(world.jobs).hasSize(1);
        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(450);
    }

    @Test
    void aRequestWhoseStagesAreDoneWaitsForTheFirstUpstreamThatHasAPermit() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        World world = new World().with(World.route(RepeatRule.RESUMABLE, true, 2, steps));
        world.permits.close("u1", 300);
        world.permits.close("u2", 100);
        world.permits.close("u3", 200);
        world.request("key", List.of(1));
        world.jobs.get(0).done();
        world.advance(0);
        assertThat(world.permits.questions().get(0).name()).isEqualTo("u2");
        assertThat(world.permits.questions().get(0).patienceMillis()).isAtLeast(100);
        world.permits.decide(PermitDecision.GRANTED);
        assertThat(world.lastSend().call.target().id()).isEqualTo("u2");
    }

    @Test
    void requestsAreRefusedAtTheDoorWhileTheEnginesBeginWithNone() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, true, 1));
        for (int i = 0; i < 6; i++) {
            world.request();
        }
        assertThat(world.sends).hasSize(6);
        world.advance(1_500).request();
        assertThat(world.sends).hasSize(6);
        assertThat(world.refusedWith()).isEqualTo(503);
        assertThat(world.refusals.get(0).retryAfterMillis()).isPresent();
    }

    @ParameterizedTest
    @EnumSource(RepeatRule.class)
    void onlyARequestThatRunsAtMostOnceNeedsAFreshConnection(RepeatRule rule) {
        World world = new World().with(World.route(rule, false, 2)).request();
        assertThat(world.lastSend().call.reusesConnection())
                .isEqualTo(rule != RepeatRule.AT_MOST_ONCE);
    }
}
