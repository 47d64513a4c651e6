package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.StageFailure;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.junit.jupiter.api.Test;

/** Simulates upstreams that are silent for a while and checks that no request is cut off. */
class SilentUpstreamTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final long PAUSE_MILLIS = 1_200;
    private static final long LONG_SILENCE_MILLIS = 1_400;
    private static final List<StageStep> ONE_STAGE = List.of(new StageStep("t", List.of(), 10));

    private static SharedRetryBudget budget(int retries) {
        return new SharedRetryBudget(0, retries, 10_000, 1);
    }

    /** Starts a stream at an upstream that is silent after the first event. */
    private static ServingHarness startStream(SharedRetryBudget budget, List<StageStep> steps) {
        ServingHarness harness =
                new ServingHarness(budget)
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.request("key", steps.stream().map(step -> 1).toList());
        harness.jobs.forEach(ServingHarness.Submitted::done);
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        return harness;
    }

    /** Answers one stream at once, so that the usual time to a first event is known. */
    private static void answerOne(ServingHarness harness, List<Integer> pieces) {
        harness.request("key", pieces);
        harness.jobs.forEach(ServingHarness.Submitted::done);
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.lastSend().listener.onEnd();
        assertThat(harness.finished).isTrue();
        harness.finished = false;
        harness.jobs.clear();
        harness.sends.clear();
    }

    private static void reject(ServingHarness.Sent sent) {
        sent.listener.onHead(new UpstreamHead(503, List.of(), false, true, false, false));
    }

    private static void endStream(ServingHarness.Sent sent) {
        sent.data(EVENT_2);
        sent.listener.onEnd();
    }

    private static void assertWhole(ServingHarness harness) {
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.finished).isTrue();
        assertThat(harness.aborted).isFalse();
    }

    @Test
    void aStreamStaysAtAnUpstreamThatPausesForASecond() {
        ServingHarness harness = startStream(budget(9), List.of());
        harness.advance(PAUSE_MILLIS);
        endStream(harness.sends.get(0));
        assertWhole(harness);
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aStreamWhoseUpstreamIsSilentIsNotCutOffIfItsStagesCannotBeRerun() {
        ServingHarness harness = startStream(budget(9), ONE_STAGE);
        harness.advance(LONG_SILENCE_MILLIS);
        harness.jobs.get(1).fail(StageFailure.LATE);
        harness.advance(100);
        endStream(harness.sends.get(0));
        assertWhole(harness);
        assertThat(harness.jobs).hasSize(2);
    }

    @Test
    void aStreamWhoseUpstreamIsSilentIsNotCutOffIfNoOtherCanTakeIt() {
        ServingHarness harness = startStream(budget(9), ONE_STAGE);
        harness.advance(LONG_SILENCE_MILLIS);
        for (String id : List.of("u1", "u2", "u3")) {
            harness.announce(
                    id,
                    new Announcement(
                            Announcement.Origin.GOOD,
                            AnnouncedLimit.NONE,
                            true,
                            OptionalLong.empty()));
        }
        harness.jobs.get(1).done();
        harness.advance(100);
        endStream(harness.sends.get(0));
        assertWhole(harness);
        assertThat(harness.released).hasSize(2);
    }

    @Test
    void aStreamIsCancelledAtItsSilentUpstreamOnlyWhenItsStagesAreRerun() {
        ServingHarness harness = startStream(budget(9), ONE_STAGE);
        harness.advance(LONG_SILENCE_MILLIS);
        assertThat(harness.jobs).hasSize(2);
        assertThat(harness.sends.get(0).cancelled).isFalse();

        harness.jobs.get(1).done();
        assertThat(harness.sends.get(0).cancelled).isTrue();
        assertThat(harness.lastSend().call.resumeAfter()).hasValue(1L);
        harness.lastSend().head(200);
        endStream(harness.lastSend());
        assertWhole(harness);
    }

    @Test
    void aStreamThatGoesOnWhileItsStagesAreRerunIsNotSentTwice() {
        ServingHarness harness = startStream(budget(9), ONE_STAGE);
        harness.advance(LONG_SILENCE_MILLIS);
        harness.sends.get(0).data(EVENT_2);
        harness.jobs.get(1).done();
        harness.sends.get(0).listener.onEnd();
        assertWhole(harness);
        assertThat(harness.sends).hasSize(1);
        assertThat(harness.released).hasSize(2);
    }

    @Test
    void aStreamThatBreaksWhileItsStagesAreRerunIsResumedWithTheSameRetry() {
        ServingHarness harness = startStream(budget(1), ONE_STAGE);
        harness.advance(LONG_SILENCE_MILLIS);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "reset");
        harness.advance(10);
        harness.jobs.get(1).done();
        assertThat(harness.sends).hasSize(2);
        harness.lastSend().head(200);
        endStream(harness.lastSend());
        assertWhole(harness);
    }

    @Test
    void aStreamTakenFromASilentUpstreamIsNotCutOffIfAllOthersRejectItAtFirst() {
        ServingHarness harness = startStream(budget(9), List.of());
        harness.advance(LONG_SILENCE_MILLIS);
        reject(harness.lastSend());
        reject(harness.lastSend());
        assertThat(harness.sends).hasSize(3);
        harness.advance(300);
        assertThat(harness.sends).hasSize(4);
        harness.lastSend().head(200);
        endStream(harness.lastSend());
        assertWhole(harness);
    }

    @Test
    void aStreamTakenFromASilentUpstreamIsNotCutOffForLackOfRetryBudget() {
        ServingHarness harness = startStream(budget(1), List.of());
        harness.advance(LONG_SILENCE_MILLIS);
        reject(harness.lastSend());
        harness.advance(1_500);
        assertThat(harness.aborted).isFalse();
    }

    @Test
    void aRequestThatHasNotBegunIsNotHeldBackOnceItsStagesCannotBeRerun() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, ONE_STAGE));
        answerOne(harness, List.of(1));
        harness.request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.advance(LONG_SILENCE_MILLIS);
        harness.lastSend()
                .listener
                .onHead(new UpstreamHead(409, List.of(), false, true, false, false));
        harness.jobs.get(1).fail(StageFailure.LATE);
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.BAD_GATEWAY);
    }

    @Test
    void aStallOfTheRouterIsNotTakenForTheSilenceOfItsUpstreams() {
        ServingHarness harness = startStream(budget(9), List.of());
        harness.advance(1_000).stall(1_500);
        endStream(harness.sends.get(0));
        assertWhole(harness);

        ServingHarness plain =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        plain.advance(300).stall(1_500);
        plain.sends.get(0).answer(200);
        assertThat(plain.finished).isTrue();
        assertThat(plain.sends).hasSize(1);
    }

    @Test
    void aPlainRequestTakenFromASilentUpstreamDoesNotFailIfAllOthersRejectItAtFirst() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        harness.advance(600);
        reject(harness.lastSend());
        reject(harness.lastSend());
        harness.advance(300);
        harness.lastSend().answer(200);
        assertThat(harness.refusals).isEmpty();
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aStreamThatHasNotBegunIsAnsweredBeforeItsCallerLeaves() {
        ServingHarness harness =
                new ServingHarness(budget(1))
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2));
        answerOne(harness, List.of());
        harness.request();
        harness.advance(1_200);
        assertThat(harness.sends).hasSize(2);
        reject(harness.lastSend());
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS - 1_200);
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.BAD_GATEWAY);
    }

    @Test
    void aStreamWhoseStagesAllFailIsNotSentToTwoUpstreamsAtOnce() {
        ServingHarness harness =
                startStream(
                        budget(9),
                        List.of(
                                new StageStep("t", List.of(), 10),
                                new StageStep("t", List.of(), 10)));
        harness.advance(LONG_SILENCE_MILLIS);
        harness.jobs.get(2).done();
        harness.jobs.get(3).done();
        harness.lastSend()
                .listener
                .onHead(new UpstreamHead(409, List.of(), false, true, false, false));
        harness.jobs.get(4).fail(StageFailure.UPSTREAM_FAILED);
        harness.jobs.get(5).fail(StageFailure.UPSTREAM_FAILED);
        for (int done = 6, round = 0; round < 30; round++) {
            harness.advance(50);
            for (; done < harness.jobs.size(); done++) {
                harness.jobs.get(done).done();
            }
        }
        assertThat(harness.sends.stream().filter(sent -> !sent.cancelled).count()).isEqualTo(1);
    }

    @Test
    void aShortStallOfTheRouterIsNotTakenForTheSilenceOfItsUpstreams() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        harness.advance(250).stall(250);
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aStreamAtADeadUpstreamIsResumedAlthoughTheFirstRerunOfItsStagesFailed() {
        ServingHarness harness = startStream(budget(9), ONE_STAGE);
        harness.advance(1_300);
        harness.jobs.get(1).fail(StageFailure.UPSTREAM_FAILED);
        harness.advance(500);
        assertThat(harness.jobs).hasSize(3);
    }

    @Test
    void aStreamResumedAtAnotherSilentUpstreamIsResumedAgainBeforeItsCallerLeaves() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 3))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.advance(LONG_SILENCE_MILLIS);
        assertThat(harness.sends).hasSize(2);
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS - LONG_SILENCE_MILLIS - 50);
        assertThat(harness.sends).hasSize(3);
    }

    @Test
    void aStreamTakenFromASilentUpstreamIsNotCutOffForLackOfRetryBudgetAfterAFailure() {
        ServingHarness harness =
                new ServingHarness(budget(1))
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 3))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.advance(LONG_SILENCE_MILLIS);
        assertThat(harness.sends).hasSize(2);
        harness.lastSend().head(500);
        harness.advance(100);
        assertThat(harness.aborted).isFalse();
    }

    // MIXED: callers got a success although the upstream had answered their request with a failure.
    @Test
    void aRequestIsNotSentAgainToAnUpstreamWhereItMayHaveRun() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        harness.upstreams.replaceAll(
                List.of(ServingHarness.upstream("u1"), ServingHarness.upstream("u2")), 0);
        harness.request();
        String silent = harness.lastSend().call.target().id();
        harness.advance(600);
        reject(harness.lastSend());
        harness.advance(300);
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();
        assertThat(harness.sends.stream().map(sent -> sent.call.target().id()).skip(1))
                .doesNotContain(silent);
    }

    @Test
    void aRequestThatMayHaveRunAtEveryUpstreamIsNotHeldBack() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 3));
        harness.upstreams.replaceAll(
                List.of(ServingHarness.upstream("u1"), ServingHarness.upstream("u2")), 0);
        harness.request();
        harness.advance(600);
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        harness.advance(10);
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.BAD_GATEWAY);
    }

    // CONFIG: an upload that took longer than the silence allowed was cut off and sent again.
    @Test
    void aRequestIsNotSilentWhileItIsBeingWritten() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        for (int i = 0; i < 15; i++) {
            harness.advance(100);
            harness.sends.get(0).listener.onRequestProgress();
        }
        assertThat(harness.sends).hasSize(1);
        harness.advance(100);
        harness.sends.get(0).answer(200);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aRequestOfWhichNoMoreIsWrittenLeavesItsSilentUpstream() {
        ServingHarness harness =
                new ServingHarness(budget(9))
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        harness.advance(100);
        harness.sends.get(0).listener.onRequestProgress();
        harness.advance(700);
        assertThat(harness.sends).hasSize(2);
        assertThat(harness.sends.get(0).cancelled).isTrue();
    }
}
