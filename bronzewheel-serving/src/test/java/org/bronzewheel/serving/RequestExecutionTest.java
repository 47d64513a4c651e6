package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
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
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates upstream behaviour and checks what the caller receives. */
class RequestExecutionTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    /** What the first upstream does, and the outcome for a request that runs at most once. */
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
        // A 503 that does not state that the request did not run guarantees nothing.
        PLAIN_503(s -> s.listener.onHead(head(503, true, false)), false, 502),
        UNSIGNED_500(s -> s.listener.onHead(head(500, false, false)), false, 502);

        private final Consumer<ServingHarness.Sent> act;
        private final boolean provedNotRun;
        private final int expectedStatus;

        Fault(Consumer<ServingHarness.Sent> act, boolean provedNotRun, int expectedStatus) {
            this.act = act;
            this.provedNotRun = provedNotRun;
            this.expectedStatus = expectedStatus;
        }

        private static UpstreamHead head(int status, boolean signed, boolean neverRan) {
            return new UpstreamHead(status, List.of(), signed, neverRan, false, false);
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anAtMostOnceRequestIsRetriedOnlyIfItProvablyDidNotRun(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        fault.act.accept(harness.lastSend());
        harness.advance(100);

        assertThat(harness.sends).hasSize(fault.provedNotRun ? 2 : 1);
        assertThat(harness.refusalStatus()).isEqualTo(fault.expectedStatus);
        if (fault.provedNotRun) {
            harness.lastSend().answer(200);
            assertThat(harness.body.toString()).isEqualTo("body");
            assertThat(harness.finished).isTrue();
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anIdempotentRequestIsRetriedAtAnotherUpstreamAfterAnyFault(Fault fault) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        fault.act.accept(harness.lastSend());
        harness.advance(100);

        assertThat(harness.sends).hasSize(2);
        assertThat(harness.sends.get(1).call.target().id())
                .isNotEqualTo(harness.sends.get(0).call.target().id());
        harness.lastSend().answer(200);
        assertThat(harness.status).isEqualTo(200);
        assertThat(harness.body.toString()).isEqualTo("body");
        assertThat(harness.refusals).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void onlyRequestsThatNeverRanAreRefusedAsNotRun(Fault fault) {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        ServingHarness harness =
                new ServingHarness(none)
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        harness.request();
        for (int i = 0; i < 8 && harness.refusals.isEmpty(); i++) {
            fault.act.accept(harness.lastSend());
            harness.advance(100);
        }

        assertWithMessage("status")
                .that(harness.refusalStatus())
                .isEqualTo(fault.provedNotRun ? 503 : 502);
    }

    @Test
    void anUpstreamsOwnFailureIsForwardedUnchanged() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        harness.lastSend().answer(500);

        assertThat(harness.status).isEqualTo(500);
        assertThat(harness.body.toString()).isEqualTo("body");
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aResumableStreamIsResumedElsewhereAfterItsLastCompleteEvent() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1 + "id: 2\nda");
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");

        ServingHarness.Sent second = harness.lastSend();
        assertThat(second.call.resumeAfter()).hasValue(1L);
        second.head(200);
        second.data(EVENT_1 + EVENT_2);
        second.listener.onEnd();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.finished).isTrue();
        assertThat(harness.aborted).isFalse();
    }

    /** Responses that do not continue a stream that has begun at another upstream. */
    @SuppressWarnings("ImmutableEnumChecker")
    private enum NoContinuation {
        FAILURE(s -> s.answer(500)),
        FAILURE_AS_EVENTS(
                s -> {
                    s.head(503);
                    s.data(EVENT_2);
                    s.listener.onEnd();
                }),
        NOT_FOUND(s -> s.answer(404)),
        REDIRECT(s -> s.answer(302)),
        REFUSAL(s -> s.listener.onHead(Fault.head(503, false, true))),
        UNSIGNED_SUCCESS(s -> s.listener.onHead(Fault.head(200, false, false))),
        NO_CONTENT(
                s -> {
                    s.head(204);
                    s.listener.onEnd();
                }),
        PARTIAL_CONTENT(
                s -> {
                    s.head(206);
                    s.data(EVENT_2);
                    s.listener.onEnd();
                }),
        NO_EVENT_STREAM(
                s -> {
                    s.listener.onHead(typed("text/plain"));
                    s.data("out of memory\n\n");
                    s.listener.onEnd();
                }),
        ERROR_EVENT(
                s -> {
                    s.listener.onHead(typed(EVENT_STREAM));
                    s.data("event: error\ndata: out of memory\n\n" + EVENT_2);
                    s.listener.onEnd();
                }),
        NO_EVENTS(
                s -> {
                    s.listener.onHead(typed(EVENT_STREAM));
                    s.listener.onEnd();
                }),
        NO_FURTHER_EVENTS(
                s -> {
                    s.listener.onHead(typed(EVENT_STREAM));
                    s.data(EVENT_1);
                    s.listener.onEnd();
                });

        private final Consumer<ServingHarness.Sent> act;

        NoContinuation(Consumer<ServingHarness.Sent> act) {
            this.act = act;
        }

        private static UpstreamHead typed(String type) {
            return new UpstreamHead(
                    200, List.of(new Header("Content-Type", type)), true, false, false, false);
        }
    }

    @ParameterizedTest
    @EnumSource(NoContinuation.class)
    void aResponseThatDoesNotContinueAStreamNeitherEntersNorCompletesIt(NoContinuation second) {
        ServingHarness harness =
                new ServingHarness(new SharedRetryBudget(0, 1, 10_000, 1))
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().listener.onHead(NoContinuation.typed(EVENT_STREAM + "; charset=utf-8"));
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        second.act.accept(harness.lastSend());
        harness.advance(100);

        assertThat(harness.sends).hasSize(2);
        assertThat(harness.body.toString()).isEqualTo(EVENT_1);
        assertThat(harness.finished).isFalse();
        assertThat(harness.aborted).isTrue();
        assertThat(harness.refusals).isEmpty();
    }

    @Test
    void aStreamIsResumedAtAThirdUpstreamIfTheSecondDoesNotContinueIt() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 3))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        harness.lastSend().head(200);
        harness.lastSend().data("data: out of memory\n\n" + EVENT_2);

        ServingHarness.Sent third = harness.lastSend();
        assertThat(harness.sends).hasSize(3);
        assertThat(harness.sends.get(1).cancelled).isTrue();
        assertThat(third.call.resumeAfter()).hasValue(1L);
        third.head(200);
        third.data(": keep-alive\n\n" + EVENT_2);
        third.listener.onEnd();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + ": keep-alive\n\n" + EVENT_2);
        assertThat(harness.finished).isTrue();
    }

    // Another run would send the last event once more.
    @ParameterizedTest
    @ValueSource(strings = {"data: a\n\n", EVENT_1 + "data: b\n\n"})
    void aStreamWhoseLastEventHasNoIdIsNotResumed(String events) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(events);
        harness.advance(1_000);
        assertThat(harness.sends).hasSize(1);
        assertThat(harness.aborted).isFalse();

        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        harness.advance(100);
        assertThat(harness.sends).hasSize(1);
        assertThat(harness.aborted).isTrue();
    }

    @Test
    void aCommentDoesNotPreventAStreamFromBeingResumed() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data("data: a\n\n" + EVENT_1 + ": keep-alive\n\n");
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        assertThat(harness.lastSend().call.resumeAfter()).hasValue(1L);
    }

    @Test
    void aStreamThatMayNotBeResumedIsAborted() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");

        assertThat(harness.sends).hasSize(1);
        assertThat(harness.aborted).isTrue();
        assertThat(harness.finished).isFalse();
    }

    @Test
    void aStreamThatEndsWithinAnEventIsNotComplete() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1 + "id: 2\nda");
        harness.sends.get(0).listener.onEnd();

        assertThat(harness.finished).isFalse();
        assertThat(harness.aborted).isTrue();
    }

    @Test
    void anUnexpectedErrorAtOneUpstreamDoesNotFailAnIdempotentRequest() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        harness.failsNextSend = true;
        harness.request();

        assertThat(harness.refusals).isEmpty();
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aStreamThatEndsBeforeItsFirstEventIsNotForwardedAsEmpty() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.sends.get(0).listener.onEnd();
        harness.lastSend().head(200);
        harness.sends.get(1).listener.onEnd();

        assertThat(harness.sends).hasSize(2);
        assertThat(harness.finished).isFalse();
        assertThat(harness.refusalStatus()).isEqualTo(502);
    }

    // Neither blank lines nor comments are a part of an event.
    @ParameterizedTest
    @ValueSource(strings = {"", "\n", "\r\n", "\n\n\n", ": end\n", ": end\r\n", "\n: end\n\n"})
    void aStreamThatEndsAfterAnEventIsForwardedWhole(String tail) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1 + EVENT_2 + tail);
        harness.sends.get(0).listener.onEnd();

        assertThat(harness.aborted).isFalse();
        assertThat(harness.finished).isTrue();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2 + tail);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"i", "id: 2", "id: 2\n", "data: x\r\n", "\nid: 2\n", ": a\nid: 2\n", ": a"})
    void aResumableStreamThatEndsWithinAnEventIsResumedElsewhere(String tail) {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1 + tail);
        harness.sends.get(0).listener.onEnd();

        ServingHarness.Sent second = harness.lastSend();
        assertThat(second.call.resumeAfter()).hasValue(1L);
        second.head(200);
        second.data(EVENT_2);
        second.listener.onEnd();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aSilentUpstreamIsAbandonedIfTheRequestMayBeRetried() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS / 2);
        assertThat(harness.sends).hasSize(1);
        harness.advance(100);

        assertThat(harness.sends).hasSize(2);
        assertThat(harness.sends.get(0).cancelled).isTrue();
        assertThat(harness.sends.get(1).call.resumeAfter()).hasValue(1L);
    }

    @Test
    void aSilentUpstreamIsAwaitedIfTheRequestRunsAtMostOnce() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 2))
                        .request();
        harness.advance(2_900);
        assertThat(harness.refusals).isEmpty();

        harness.advance(200);
        assertThat(harness.refusalStatus()).isEqualTo(504);
        assertThat(harness.sends.get(0).cancelled).isTrue();
    }

    @Test
    void theBudgetLimitsRetries() {
        SharedRetryBudget one = new SharedRetryBudget(0, 1, 10_000, 1);
        ServingHarness harness =
                new ServingHarness(one)
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 3))
                        .request();
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        harness.advance(100);

        assertThat(harness.sends).hasSize(2);
        assertThat(harness.refusalStatus()).isEqualTo(502);
    }

    @Test
    void aRouterKeepsToItsShareOfTheConnectionsOfAnUpstream() {
        // Each upstream allows nine connections, three of which are this router's share.
        SharedRetryBudget three = new SharedRetryBudget(0, 0, 10_000, 3);
        ServingHarness harness =
                new ServingHarness(three)
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        for (int i = 0; i < 9; i++) {
            harness.request();
        }
        assertThat(harness.sends).hasSize(9);
        harness.request();
        assertThat(harness.sends).hasSize(9);
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    @Test
    void aCallerThatDisconnectsCancelsTheAttempt() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        ServingHarness.Sent sent = harness.lastSend();
        harness.running.callerDisconnected();

        assertThat(sent.cancelled).isTrue();
        assertThat(harness.outcome).isEqualTo(RequestOutcome.CANCELLED);
        assertThat(harness.engine.runningRequests()).isEqualTo(0);
    }

    @Test
    void apiKeysAreAcceptedOnlyWhileTheConfigurationIsKnownToBeFresh() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        harness.advance(ServingHarness.LEASE_MILLIS + 1).request();

        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis()).isPresent();
        assertThat(harness.sends).isEmpty();
    }

    @Test
    void anUnknownKeyIsUnauthorized() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        harness.request("other", List.of());
        assertThat(harness.refusalStatus()).isEqualTo(401);
    }

    // CONFIG (review/13): once the last workspace was removed, any key was accepted.
    @Test
    void noKeyIsAcceptedOnceTheLastWorkspaceIsRemoved() {
        ServiceRoute route = ServingHarness.route(RetryRule.IDEMPOTENT, false, 2);
        ServingHarness harness = new ServingHarness().with(route);
        harness.with(2, route, CallerAccess.withKeys(List.of()));
        harness.request();
        assertThat(harness.refusalStatus()).isEqualTo(401);
        assertThat(harness.sends).isEmpty();
    }

    @Test
    void noKeyIsNeededWithoutAListOfWorkspaces() {
        ServiceRoute route = ServingHarness.route(RetryRule.IDEMPOTENT, false, 2);
        ServingHarness harness = new ServingHarness().with(1, route, CallerAccess.anyCaller());
        harness.request("other", List.of());
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aRequestDoesNotRunWhileItIsNotKnownWhetherItNeedsAKey() {
        ServiceRoute route = ServingHarness.route(RetryRule.IDEMPOTENT, false, 2);
        ServingHarness harness = new ServingHarness().with(1, route, CallerAccess.unknown());
        harness.request();
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis()).isPresent();
        assertThat(harness.sends).isEmpty();
        harness.with(1, route, CallerAccess.anyCaller()).request();
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aKeyRevokedWhileTheRequestWaitsForItsStagesIsNotAccepted() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.request("key", List.of(1));
        harness.with(2, ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps), List.of());
        harness.jobs.get(0).done();
        harness.advance(10);

        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.released).hasSize(1);
    }

    @Test
    void aStartedStreamIsNotCutOffBecauseALaterConfigurationTakesItsKeyAway() {
        ServiceRoute route = ServingHarness.route(RetryRule.RESUMABLE, true, 2);
        ServingHarness harness = new ServingHarness().with(route).request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.with(2, route, List.of());
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "crash");
        harness.advance(10);

        assertThat(harness.aborted).isFalse();
        assertThat(harness.sends).hasSize(2);
    }

    @Test
    void stageResultsArePassedOnOnceAndReleasedOnceRead() {
        List<StageStep> steps =
                List.of(new StageStep("e", List.of(), 10), new StageStep("f", List.of(0), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.request("key", List.of(1, 2));
        assertThat(harness.jobs).hasSize(1);
        harness.jobs.get(0).done();
        assertThat(harness.jobs.get(1).job().inputs()).hasSize(1);
        harness.jobs.get(1).done();

        ServingHarness.Sent sent = harness.lastSend();
        assertThat(sent.call.inputs()).containsExactly("1/0", "1/1").inOrder();
        sent.head(200);
        sent.data(EVENT_1);
        assertThat(harness.released).hasSize(3);
    }

    @Test
    void stagesAreRerunOnceIfAResultIsLost() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1, steps));
        harness.request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.lastSend()
                .listener
                .onHead(new UpstreamHead(409, List.of(), false, true, false, false));
        assertThat(harness.jobs).hasSize(2);

        harness.jobs.get(1).fail(StageFailure.LATE);
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    @Test
    void aResumedStreamWhoseStagesFailIsAbortedAndNotRefused() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        harness.advance(10);
        assertThat(harness.jobs).hasSize(2);

        harness.jobs.get(1).fail(StageFailure.LATE);
        assertThat(harness.refusals).isEmpty();
        assertThat(harness.aborted).isTrue();
    }

    @Test
    void aResumedStreamWhoseInputsAreGoneIsNotSentWithThemAgain() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, oneStage()))
                        .request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        harness.advance(10);
        harness.jobs.get(1).done();
        harness.lastSend()
                .listener
                .onHead(new UpstreamHead(409, List.of(), false, true, false, false));
        harness.advance(100);
        assertThat(harness.sends).hasSize(2);
        assertThat(harness.jobs).hasSize(3);

        harness.jobs.get(2).done();
        assertThat(harness.sends).hasSize(3);
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_2);
        harness.lastSend().listener.onEnd();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void theStagesOfAResumedStreamMayTakeAsLongAsItsCallerWaitsForTheNextEvent() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, oneStage()))
                        .request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.advance(500);
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.sends.get(0).listener.onFailure(CallFailure.BROKEN, "crash");
        harness.advance(10);
        assertThat(harness.jobs.get(1).job().deadlineAtMillis())
                .isEqualTo(500 + ServingHarness.CALLER_SILENCE_MILLIS);
        assertThat(harness.jobs.get(1).job().isFirst()).isFalse();
    }

    @Test
    void aRequestThatMayHaveRunIsNeverReportedAsNotRun() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2))
                        .request();
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "reset");
        harness.with(2, ServingHarness.route(RetryRule.IDEMPOTENT, false, 2), List.of());
        harness.advance(10);

        assertThat(harness.sends).hasSize(1);
        assertThat(harness.refusalStatus()).isEqualTo(502);
    }

    @Test
    void aStreamWhoseCallerWouldTimeOutInTheQueuesIsRefusedImmediately() {
        ServingHarness harness = new ServingHarness();
        harness.expectedWaitMillis = 1_200;
        harness.with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1, oneStage()))
                .request("key", List.of(1));
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.UNAVAILABLE);
        assertThat(harness.jobs).isEmpty();
    }

    @Test
    void stageOwnersAreToldTheDemandOfRequestsRefusedOnArrival() {
        ServingHarness harness = new ServingHarness();
        harness.expectedWaitMillis = 60_000;
        harness.with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1, oneStage()))
                .request("key", List.of(3));
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.UNAVAILABLE);
        assertThat(harness.unmetPieces).containsExactly("s", 3);
    }

    @Test
    void aStreamStillInItsStagesIsRefusedBeforeItsCallerTimesOut() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1, oneStage()))
                        .request("key", List.of(1));
        assertThat(harness.jobs.get(0).job().deadlineAtMillis())
                .isEqualTo(ServingHarness.CALLER_SILENCE_MILLIS);
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS - 100);
        assertThat(harness.refusalStatus()).isEqualTo(Refusal.UNAVAILABLE);
    }

    @Test
    void aStreamThatWasSentIsNotRefusedForItsCallersSilence() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1))
                        .request();
        harness.lastSend();
        harness.advance(ServingHarness.CALLER_SILENCE_MILLIS);
        assertThat(harness.refusals).isEmpty();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.lastSend().listener.onEnd();
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aStageJobIncludesTheExpectedTimeOfLaterStagesAndOfReadingThePrompt() {
        ServingHarness harness = new ServingHarness();
        harness.expectedWaitMillis = 200;
        List<StageStep> chain =
                List.of(
                        new StageStep("s", List.of(), 10),
                        new StageStep("s", List.of(0), 10),
                        new StageStep("s", List.of(1), 10));
        harness.with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1, chain))
                .request("key", List.of(1, 1, 1));
        long engineMillis = 161;
        long stageMillis = 200 + ServingHarness.CALL_MILLIS;
        assertThat(harness.jobs.get(0).job().laterMillis())
                .isEqualTo(2 * stageMillis + engineMillis);
        harness.jobs.get(0).done();
        assertThat(harness.jobs.get(1).job().laterMillis()).isEqualTo(stageMillis + engineMillis);
    }

    private static List<StageStep> oneStage() {
        return List.of(new StageStep("s", List.of(), 10));
    }

    @Test
    void aRequestGoesToALimitedUpstreamOnlyWithAPermit() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        List.of("u1", "u2", "u3").forEach(harness.permits::limit);
        harness.request();
        assertThat(harness.sends).isEmpty();

        harness.permits.decide(PermitDecision.GRANTED);
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();
        assertThat(harness.sends).hasSize(1);
        assertThat(harness.permits.questions()).hasSize(1);
    }

    @Test
    void aRequestWithoutAPermitGoesToAnotherUpstreamWithoutUsingRetryBudget() {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        ServingHarness harness =
                new ServingHarness(none)
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        harness.permits.limit("u1");
        harness.request();
        assertThat(harness.permits.questions().get(0).timeoutMillis()).isEqualTo(0);

        harness.permits.close("u1", 700);
        harness.permits.decide(PermitDecision.refusedFor(700));
        assertThat(harness.lastSend().call.target().id()).isNotEqualTo("u1");
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void aRequestIsRefusedImmediatelyWithARetryTimeIfNoUpstreamHasAPermit() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        List.of("u1", "u2", "u3").forEach(id -> harness.permits.close(id, 600));
        harness.request();
        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(600);
    }

    @Test
    void aPermitOfAnUpstreamThatHasSinceLeftIsNotUsed() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        harness.permits.limit("u1");
        harness.request();
        harness.upstreams.remove("u1", 0);
        harness.permits.decide(PermitDecision.GRANTED);
        assertThat(harness.lastSend().call.target().id()).isNotEqualTo("u1");
    }

    /** Makes the first upstreams announce pauses, in milliseconds. */
    private static ServingHarness paused(ServingHarness harness, long... millis) {
        for (int i = 0; i < millis.length; i++) {
            harness.announce(
                    "u" + (i + 1),
                    new Announcement(
                            Announcement.Origin.NEVER_RAN,
                            AnnouncedLimit.NONE,
                            false,
                            OptionalLong.of(millis[i])));
        }
        return harness;
    }

    private static ServingHarness leaving(ServingHarness harness, String... ids) {
        for (String id : ids) {
            harness.announce(
                    id,
                    new Announcement(
                            Announcement.Origin.GOOD,
                            AnnouncedLimit.NONE,
                            true,
                            OptionalLong.empty()));
        }
        return harness;
    }

    // Guards against sending requests to an upstream during its pause.
    @Test
    void aRequestGoesToAnUpstreamThatIsNotPaused() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        paused(harness, 900, 900).request();
        assertThat(harness.lastSend().call.target().id()).isEqualTo("u3");
    }

    // Guards against sending work to an upstream that announced its leaving, even if the store does
    // not know of it yet.
    @Test
    void aRequestGoesToAnUpstreamThatIsNotLeaving() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        leaving(harness, "u1", "u3").request();
        assertThat(harness.lastSend().call.target().id()).isEqualTo("u2");
    }

    // Guards against requests that wait until their deadline while all upstreams are paused.
    @Test
    void aRequestIsRefusedImmediatelyUntilTheFirstPauseEndsIfAllUpstreamsArePaused() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        paused(harness, 600, 700, 900).request();
        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(600);
    }

    @Test
    void aRequestIsRefusedImmediatelyIfAllUpstreamsAreLeaving() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 2));
        leaving(harness, "u1", "u2", "u3").request();
        assertThat(harness.sends).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    // Guards against stage work for a request that no engine will accept.
    @Test
    void noStageStartsIfAllUpstreamsArePausedForLongerThanTheStagesTake() {
        ServingHarness harness =
                new ServingHarness()
                        .with(
                                ServingHarness.route(
                                        RetryRule.RESUMABLE,
                                        true,
                                        2,
                                        List.of(new StageStep("t", List.of(), 10))));
        paused(harness, 2_000, 2_000, 2_000).request("key", List.of(1));
        assertThat(harness.jobs).isEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(503);
    }

    // Guards against using a permit that was requested before its upstream paused or left.
    @Test
    void aPermitIsNotUsedForAnUpstreamThatHasSincePausedOrAnnouncedItsLeaving() {
        for (boolean pauses : List.of(true, false)) {
            ServingHarness harness =
                    new ServingHarness()
                            .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
            leaving(harness, "u2", "u3");
            harness.permits.limit("u1");
            harness.request();
            if (pauses) {
                paused(harness, 900);
            } else {
                leaving(harness, "u1");
            }
            harness.permits.decide(PermitDecision.GRANTED);
            assertThat(harness.sends).isEmpty();
            assertThat(harness.refusalStatus()).isEqualTo(503);
        }
    }

    @Test
    void aWithheldRequestGoesToAnotherUpstream() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1))
                        .request();
        ServingHarness.Sent first = harness.lastSend();
        first.listener.onFailure(CallFailure.WITHHELD, "it pauses");
        ServingHarness.Sent second = harness.lastSend();
        assertThat(second.call.target().id()).isNotEqualTo(first.call.target().id());
        second.answer(200);
        assertThat(harness.body.toString()).isEqualTo("body");
    }

    @Test
    void aStreamAtAnUpstreamThatIsLeavingContinues() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        leaving(harness, harness.lastSend().call.target().id());
        harness.lastSend().data(EVENT_2);
        harness.lastSend().listener.onEnd();
        assertThat(harness.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aStreamIsNotResumedAtAnUpstreamThatIsLeaving() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        String first = harness.lastSend().call.target().id();
        List<String> others =
                List.of("u1", "u2", "u3").stream().filter(id -> !id.equals(first)).toList();
        leaving(harness, others.get(0));
        harness.lastSend().listener.onFailure(CallFailure.BROKEN, "crash");
        assertThat(harness.lastSend().call.target().id()).isEqualTo(others.get(1));
    }

    @Test
    void aSlowStreamThatCannotBeResumedElsewhereIsNotAborted() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 1))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        harness.advance(2_000);
        assertThat(harness.aborted).isFalse();

        harness.lastSend().data(EVENT_2);
        harness.sends.get(0).listener.onEnd();
        assertThat(harness.finished).isTrue();
        assertThat(harness.sends).hasSize(1);
    }

    @Test
    void aSlowResponseIsAwaitedIfNoOtherUpstreamOrBudgetIsLeft() {
        SharedRetryBudget none = new SharedRetryBudget(0, 0, 10_000, 1);
        ServingHarness harness =
                new ServingHarness(none)
                        .with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 3))
                        .request();
        harness.advance(1_500);
        assertThat(harness.refusals).isEmpty();
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();

        ServingHarness alone =
                new ServingHarness().with(ServingHarness.route(RetryRule.IDEMPOTENT, false, 3));
        alone.upstreams.remove("u2", 0);
        alone.upstreams.remove("u3", 0);
        alone.request().advance(1_500);
        assertThat(alone.refusals).isEmpty();
        alone.lastSend().answer(200);
        assertThat(alone.finished).isTrue();
    }

    @Test
    void aStalledStreamThatSendsOccasionalBytesIsAbandoned() {
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2))
                        .request();
        harness.lastSend().head(200);
        harness.lastSend().data(EVENT_1);
        for (int i = 0; i < 20; i++) {
            harness.sends.get(0).listener.onData(new byte[] {':'});
            harness.advance(100);
        }
        assertThat(harness.sends).hasSize(2);
        assertThat(harness.sends.get(0).cancelled).isTrue();
        assertThat(harness.sends.get(1).call.resumeAfter()).hasValue(1L);
    }

    @Test
    void stagesStartOnlyWithAnEntryPermitIfAllUpstreamsAreLimited() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.permits.limit("s");
        harness.request("key", List.of(1));
        assertThat(harness.jobs).isEmpty();
        assertThat(harness.permits.questions().get(0).kind()).isEqualTo(PermitKind.ENTRY);
        harness.permits.decide(PermitDecision.GRANTED);
        assertThat(harness.jobs).hasSize(1);

        harness.request("key", List.of(1));
        harness.permits.decide(new PermitDecision(false, 450, 80));
        assertThat(harness.jobs).hasSize(1);
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis().getAsLong()).isAtLeast(450);
    }

    @Test
    void aRequestWithFinishedStagesWaitsForTheFirstUpstreamWithAPermit() {
        List<StageStep> steps = List.of(new StageStep("e", List.of(), 10));
        ServingHarness harness =
                new ServingHarness()
                        .with(ServingHarness.route(RetryRule.RESUMABLE, true, 2, steps));
        harness.permits.close("u1", 300);
        harness.permits.close("u2", 100);
        harness.permits.close("u3", 200);
        harness.request("key", List.of(1));
        harness.jobs.get(0).done();
        harness.advance(0);
        assertThat(harness.permits.questions().get(0).name()).isEqualTo("u2");
        assertThat(harness.permits.questions().get(0).timeoutMillis()).isAtLeast(100);
        harness.permits.decide(PermitDecision.GRANTED);
        assertThat(harness.lastSend().call.target().id()).isEqualTo("u2");
    }

    @Test
    void requestsAreRefusedOnArrivalWhileTheEnginesStartNone() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, true, 1));
        for (int i = 0; i < 6; i++) {
            harness.request();
        }
        assertThat(harness.sends).hasSize(6);
        harness.advance(1_500).request();
        assertThat(harness.sends).hasSize(6);
        assertThat(harness.refusalStatus()).isEqualTo(503);
        assertThat(harness.refusals.get(0).retryAfterMillis()).isPresent();
    }

    @ParameterizedTest
    @EnumSource(RetryRule.class)
    void onlyARequestThatRunsAtMostOnceNeedsAFreshConnection(RetryRule rule) {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(rule, false, 2)).request();
        assertThat(harness.lastSend().call.reusesConnection())
                .isEqualTo(rule != RetryRule.AT_MOST_ONCE);
    }
}
