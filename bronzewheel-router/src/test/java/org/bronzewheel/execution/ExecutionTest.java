package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.execution.Fixture.body;
import static org.bronzewheel.execution.Fixture.end;
import static org.bronzewheel.execution.Fixture.request;

import com.fasterxml.jackson.databind.node.TextNode;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.upstream.UpstreamStatusException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ExecutionTest {
    private static final String KEY = "018f0000-0000-7000-8000-000000000001";

    private final Fixture fixture = new Fixture();
    private final FakeStageClient client = fixture.client;

    @Test
    void stagesRunInOrderAndPassTheirOutputOn() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        client.last().answer("encoded");
        assertThat(client.last().call.stage().name()).isEqualTo("generate");
        assertThat(client.last().call.input()).isEqualTo(TextNode.valueOf("encoded"));
        client.last().answer("generated");

        StoredAnswer answer = end(reading);

        assertThat(answer.outcome()).isEqualTo(Outcome.ANSWERED);
        assertThat(body(answer).path("answer").asText()).isEqualTo("generated");
        assertThat(body(answer).path("stages").findValuesAsText("name"))
                .containsExactly("encode", "generate")
                .inOrder();
    }

    @Test
    void remainingTimeShrinksFromStageToStage() {
        fixture.run(request("briefing", ""));
        fixture.advanceMillis(1_000);
        client.last().answer("encoded");

        assertThat(client.last().call.permit().remainingMillis()).isEqualTo(2_000);
    }

    @Test
    void workThatDidNotRunIsRetriedAtAnotherUpstream() {
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        String first = client.last().call.upstream().name();
        client.last().fail(ErrorCode.UPSTREAM_REFUSED, Outcome.NOT_RUN);
        fixture.advanceMillis(100);

        assertThat(client.calls).hasSize(2);
        assertThat(client.last().call.upstream().name()).isNotEqualTo(first);
        client.last().answer("confirmed");
        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"UNKNOWN", "FAILED"})
    void nonIdempotentWorkThatMayHaveRunIsNeverSentAgain(Outcome outcome) {
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        client.last().fail(ErrorCode.UPSTREAM_BROKEN, outcome);

        // The final answer comes at once, not at the deadline.
        assertThat(end(reading).outcome()).isEqualTo(outcome);
        fixture.advanceMillis(10_000);
        assertThat(client.calls).hasSize(1);
    }

    @Test
    void anUpstreamThatChecksKeysGetsTheSameKeyAgain() {
        TestSubscriber<ReadResult> reading = fixture.run(request("checked-voucher", KEY));
        client.last().fail(ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN);
        fixture.advanceMillis(100);

        assertThat(client.calls).hasSize(2);
        assertThat(client.calls.get(0).call.idempotencyKey()).isNotEmpty();
        assertThat(client.calls.get(1).call.idempotencyKey())
                .isEqualTo(client.calls.get(0).call.idempotencyKey());
        client.last().answer("confirmed");
        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void withoutItsKeyWorkIsNotRepeatedAtAnUpstreamThatChecksKeys() {
        TestSubscriber<ReadResult> reading = fixture.run(request("checked-voucher", ""));
        client.last().fail(ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN);
        fixture.advanceMillis(100);

        assertThat(client.calls).hasSize(1);
        assertThat(end(reading).outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void anErrorThatBlamesTheRequestIsNotRetried() {
        TestSubscriber<ReadResult> reading = fixture.run(request("encoding", ""));
        client.last()
                .fail(
                        new UpstreamStatusException(
                                ErrorCode.UPSTREAM_FAILED, Outcome.FAILED, "status 400", 400));
        fixture.advanceMillis(100);

        assertThat(client.calls).hasSize(1);
        assertThat(end(reading).outcome()).isEqualTo(Outcome.FAILED);
    }

    @Test
    void nothingLeavesAfterTheDeadline() {
        client.connectsAtOnce = false;
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        fixture.advanceMillis(3_000);
        client.last().connect();

        assertThat(client.last().sent).isFalse();
        assertThat(end(reading).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(body(end(reading)).path("code").asText()).isEqualTo("DEADLINE_EXCEEDED");
    }

    @Test
    void aLateAnswerIsDroppedAndItsCostBooked() {
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        fixture.advanceMillis(3_000);
        client.last().answer("too late");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(client.cancelled).hasSize(1);
        assertThat(fixture.execution.costs()).hasSize(1);
        assertThat(fixture.execution.costs().get(0).kind()).isEqualTo(CostKind.LATE);
        assertThat(fixture.execution.costs().get(0).usage().workerMillis()).isEqualTo(5);
    }

    @Test
    void theAnswerOfAnotherAttemptIsNotAccepted() {
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        AttemptId other = new AttemptId(new RequestId("vm-1", 36, 99), 0, 1);
        client.last().answer(other, "somebody else's");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(end(reading).body()).doesNotContain("somebody else's");
        assertThat(body(end(reading)).path("code").asText()).isEqualTo("UPSTREAM_ANSWER_INVALID");
    }

    @Test
    void aRequestWhoseFirstStageRanIsNotCalledNotRun() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        client.last().answer("encoded");
        for (int i = 0; i < 10; i++) {
            client.last().fail(ErrorCode.UPSTREAM_REFUSED, Outcome.NOT_RUN);
            fixture.advanceMillis(100);
        }

        assertThat(end(reading).outcome()).isEqualTo(Outcome.FAILED);
    }

    @Test
    void aFurtherAttemptGoesOnWhereItsReadersAre() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", "", true));
        client.last().answer("encoded");
        client.last().token(0, "a");
        client.last().token(1, "b");
        client.last().fail(ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN);
        fixture.advanceMillis(100);
        client.last().token(0, "a");
        client.last().token(1, "b");
        client.last().token(2, "c");
        client.last().answer("abc");

        StringBuilder text = new StringBuilder();
        reading.values().forEach(r -> r.pieces().forEach(p -> text.append(p.text())));
        assertThat(text.toString()).isEqualTo("abc");
        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void aFurtherAttemptInLongerPiecesLosesNoTokens() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", "", true));
        client.last().answer("encoded");
        client.last().token(0, "a");
        client.last().token(1, "b");
        client.last().fail(ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN);
        fixture.advanceMillis(100);
        client.last().token(0, "abc");
        client.last().answer("abc");

        List<TokenPiece> pieces = new ArrayList<>();
        reading.values().forEach(r -> pieces.addAll(r.pieces()));
        assertThat(pieces)
                .containsExactly(
                        new TokenPiece(0, 1, "a"),
                        new TokenPiece(1, 1, "b"),
                        new TokenPiece(2, 1, "c"))
                .inOrder();
        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void aFurtherAttemptThatContradictsItsReadersIsNotAccepted() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", "", true));
        client.last().answer("encoded");
        client.last().token(0, "a");
        for (int i = 0; i < 3; i++) {
            client.last().fail(ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN);
            fixture.advanceMillis(100);
            client.last().token(0, "x");
        }

        assertThat(end(reading).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(reading.values().get(0).pieces()).containsExactly(new TokenPiece(0, 1, "a"));
    }

    @Test
    void aCancelledRequestIsCancelledAtItsUpstream() {
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", ""));
        RequestId id = client.last().call.attemptId().requestId();
        assertThat(fixture.requests.cancel(id).blockingGet()).isTrue();

        assertThat(body(end(reading)).path("code").asText()).isEqualTo("CANCELLED");
        assertThat(end(reading).outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(client.cancelled).hasSize(1);
        assertThat(fixture.requests.cancel(id).blockingGet()).isFalse();
    }

    @Test
    void onlyUnreadIdempotentWorkEndsWithItsCaller() {
        for (PipelineRequest request :
                new PipelineRequest[] {
                    request("encoding", ""), request("voucher", ""), request("encoding", KEY)
                }) {
            RequestId id = fixture.submit(request).values().get(0);
            fixture.requests.callerGone(id, request);
        }

        assertThat(client.calls).hasSize(3);
        assertThat(client.cancelled).containsExactly(client.calls.get(0).call);
    }

    @Test
    void theLastAttemptOfAStageMayTakeLongerThanItsPart() {
        for (int i = 0; i < 30; i++) {
            fixture.run(request("briefing", ""));
            fixture.advanceMillis(100);
            client.last().answer("encoded");
            fixture.advanceMillis(100);
            client.last().answer("generated");
        }

        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        fixture.advanceMillis(2_800);
        client.last().answer("encoded");
        client.last().answer("generated");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void aRequestEndsUnderTheConfigurationItStartedWith() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        fixture.use(
                Fixture.configuration(2, Fixture.INVENTORY.replace("10.0.0.3:1", "10.0.0.9:1")));
        client.last().answer("encoded");
        assertThat(client.last().call.pool().upstreams().get(0).address()).isEqualTo("10.0.0.3:1");
        client.last().answer("generated");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void anAttemptThatHangsGoesToAnotherWorkerWhileTimeIsLeft() {
        for (int i = 0; i < 20; i++) {
            runUsually();
        }
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        FakeStageClient.Exchange hanging = client.last();
        while (client.last() == hanging && fixture.scheduler.now(TimeUnit.MINUTES) < 1) {
            fixture.advanceMillis(10);
        }

        assertThat(client.last().call.stage().name()).isEqualTo("encode");
        assertThat(client.last().call.upstream()).isNotEqualTo(hanging.call.upstream());
        client.last().answer("encoded");
        client.last().answer("generated");
        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void anAttemptIsNotGivenUpWhereNoFurtherOneIsAllowed() {
        for (int i = 0; i < 20; i++) {
            runUsually();
        }
        fixture.execution.update(
                fixture.fleet.configurations.configuration, Set.of("encoder-2"), List.of("vm-1"));
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        int first = client.calls.size() - 1;
        fixture.advanceMillis(2_000);
        List<FakeStageClient.Exchange> sent = client.calls.subList(first, client.calls.size());
        sent.get(sent.size() - 1).answer("encoded");
        client.last().answer("generated");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    private void runUsually() {
        fixture.submit(request("briefing", ""));
        fixture.advanceMillis(10);
        client.last().answer("encoded");
        fixture.advanceMillis(200);
        client.last().answer("generated");
    }

    @Test
    void aChangedConcurrencyIsFollowed() {
        String narrow =
                Fixture.INVENTORY.replace(
                        "name: booking\n", "name: booking\n    concurrencyPerUpstream: 1\n");
        assertThat(narrow).isNotEqualTo(Fixture.INVENTORY);
        fixture.use(Fixture.configuration(2, narrow));
        for (int i = 0; i < 6; i++) {
            fixture.submit(request("voucher", ""));
        }
        int sentNarrow = client.calls.size();
        fixture.use(Fixture.configuration(3, Fixture.INVENTORY));
        fixture.scheduler.triggerActions();

        assertThat(sentNarrow).isLessThan(6);
        assertThat(client.calls).hasSize(6);
    }

    @Test
    void aLeavingUpstreamGetsNoNewWork() {
        fixture.execution.update(
                fixture.fleet.configurations.configuration, Set.of("booking-1"), List.of("vm-1"));
        for (int i = 0; i < 5; i++) {
            fixture.run(request("voucher", ""));
        }

        assertThat(client.calls).hasSize(5);
        client.calls.forEach(c -> assertThat(c.call.upstream().name()).isEqualTo("booking-2"));
    }

    @Test
    void withoutAnyUpstreamNothingRuns() {
        fixture.execution.update(
                fixture.fleet.configurations.configuration,
                Set.of("booking-1", "booking-2"),
                List.of("vm-1"));

        StoredAnswer answer = end(fixture.run(request("voucher", "")));

        assertThat(answer.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(body(answer).path("code").asText()).isEqualTo("NO_UPSTREAM");
        assertThat(body(answer).path("retryAfterMillis").asLong()).isGreaterThan(0);
    }

    @Test
    void aDrainWaitsForEachRequestInProgressAndRefusesNewOnes() {
        TestSubscriber<ReadResult> reading = fixture.run(request("briefing", ""));
        TestObserver<Void> drained = fixture.execution.drain().test();

        TestObserver<RequestId> refused = fixture.submit(request("briefing", ""));
        refused.assertError(
                e ->
                        ((BronzewheelException) e).code() == ErrorCode.DRAINING
                                && ((BronzewheelException) e).outcome() == Outcome.NOT_RUN);
        drained.assertNotComplete();
        client.last().answer("encoded");
        drained.assertNotComplete();
        client.last().answer("generated");

        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
        drained.assertComplete();
    }

    @Test
    void anEstimateThatRefusesAllWorkIsMadeAnew() {
        int slowRequests = 0;
        while (slowRequests < 100 && runSlowly()) {
            slowRequests++;
        }
        assertThat(slowRequests).isLessThan(100);

        int refusals = 0;
        while (refusals < 500 && isRefused()) {
            refusals++;
        }
        assertThat(refusals).isLessThan(500);
    }

    /** Runs a request that takes most of its deadline; false where it is refused. */
    private boolean runSlowly() {
        int callsBefore = client.calls.size();
        if (isRefused()) {
            return false;
        }
        FakeStageClient.Exchange encode = client.calls.get(callsBefore);
        fixture.advanceMillis(2_500);
        encode.answer("encoded");
        FakeStageClient.Exchange generate = client.last();
        fixture.advanceMillis(400);
        generate.answer("generated");
        return true;
    }

    private boolean isRefused() {
        return fixture.submit(request("briefing", "")).values().isEmpty();
    }
}
