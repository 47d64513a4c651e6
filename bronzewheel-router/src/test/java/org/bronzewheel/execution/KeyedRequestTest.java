package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.execution.Fixture.body;
import static org.bronzewheel.execution.Fixture.end;
import static org.bronzewheel.execution.Fixture.request;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.claim.ClaimDecision;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.CallHandler;
import org.bronzewheel.wire.RequestPiece;
import org.bronzewheel.wire.RequestReply;
import org.junit.jupiter.api.Test;

class KeyedRequestTest {
    private static final String KEY = "018f0000-0000-7000-8000-000000000001";
    private static final RequestId OTHER = new RequestId("vm-2", 40, 1);

    private final Fixture fixture = new Fixture();
    private final FakeStageClient client = fixture.client;

    @Test
    void aKeyIsClaimedBeforeTheFirstStageIsSent() {
        fixture.fleet.claims.decision = new ClaimDecision.Refused(ErrorCode.CLAIM_SPLIT, 0);

        TestObserver<RequestId> refused = fixture.submit(request("voucher", KEY));

        refused.assertError(e -> ((BronzewheelException) e).outcome() == Outcome.NOT_RUN);
        assertThat(fixture.fleet.claims.requests).hasSize(1);
        assertThat(client.calls).isEmpty();
    }

    @Test
    void aRequestWithoutKeyIsNotClaimed() {
        fixture.run(request("voucher", ""));

        assertThat(fixture.fleet.claims.requests).isEmpty();
        assertThat(client.calls).hasSize(1);
    }

    @Test
    void aKeyThatIsOlderThanTheRetentionIsRefusedWithoutAClaim() {
        fixture.advanceMillis(Fixture.RETENTION_MILLIS + 1);

        TestObserver<RequestId> refused =
                fixture.submit(request("voucher", "00000000-0000-7000-8000-000000000001"));

        refused.assertError(e -> ((BronzewheelException) e).code() == ErrorCode.KEY_EXPIRED);
        refused.assertError(e -> ((BronzewheelException) e).outcome() == Outcome.NOT_RUN);
        assertThat(fixture.fleet.claims.requests).isEmpty();
    }

    @Test
    void aKeyWithinTheRetentionIsClaimed() {
        fixture.advanceMillis(Fixture.RETENTION_MILLIS - 1);

        fixture.submit(request("voucher", "00000000-0000-7000-8000-000000000001"));

        assertThat(fixture.fleet.claims.requests).hasSize(1);
    }

    @Test
    void aRepeatedSendJoinsTheHolderAndRunsNothing() {
        fixture.fleet.claims.decision = new ClaimDecision.HeldBy(OTHER);

        fixture.submit(request("voucher", KEY)).assertValue(OTHER);

        assertThat(client.calls).isEmpty();
    }

    @Test
    void anotherBodyIsAnotherFingerprint() {
        fixture.submit(request("voucher", KEY));
        fixture.submit(request("checked-voucher", KEY));

        assertThat(fixture.fleet.claims.requests.get(0).fingerprint())
                .isNotEqualTo(fixture.fleet.claims.requests.get(1).fingerprint());
    }

    @Test
    void aClaimThatIsNoLongerValidKeepsNonIdempotentWorkBack() {
        client.connectsAtOnce = false;
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", KEY));
        fixture.fleet.claims.stillGranted = false;
        client.last().connect();

        assertThat(client.last().sent).isFalse();
        assertThat(end(reading).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(body(end(reading)).path("code").asText()).isEqualTo("CLAIM_UNAVAILABLE");
    }

    @Test
    void theAnswerIsCopiedBeforeTheCallerIsTold() {
        CompletableSubject copying = CompletableSubject.create();
        fixture.fleet.answers.copying = copying;
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", KEY));
        client.last().answer("confirmed");

        reading.assertNotComplete();
        assertThat(fixture.fleet.answers.kept).hasSize(1);
        copying.onComplete();

        assertThat(fixture.fleet.answers.kept.values()).containsExactly(end(reading));
    }

    @Test
    void aCopyThatTakesLongDoesNotHoldTheCallerUp() {
        fixture.fleet.answers.copying = CompletableSubject.create();
        TestSubscriber<ReadResult> reading = fixture.run(request("voucher", KEY));
        client.last().answer("confirmed");
        fixture.advanceMillis(300);

        assertThat(end(reading).outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void aPeerReadsTheTextAndTheEndOfARequest() {
        RequestId id = fixture.submit(request("briefing", KEY, true)).values().get(0);
        // The peer's reads come back to this router's own server of calls.
        PeerRequests peer =
                new PeerRequests(
                        loop(),
                        new RequestTable(fixture.fleet.transport.self()),
                        fixture.scheduler);
        client.last().answer("encoded");
        client.last().token(0, "a");

        ReadResult first = peer.read(id, 0, 0).blockingGet().orElseThrow();
        client.last().answer("a");
        ReadResult last = peer.read(id, 1, 0).blockingGet().orElseThrow();

        assertThat(first.pieces()).containsExactly(new TokenPiece(0, 1, "a"));
        assertThat(first.ended()).isFalse();
        assertThat(last.pieces()).isEmpty();
        assertThat(last.answer()).isEqualTo(end(fixture.requests.follow(id, 0).test()));
        assertThat(peer.read(OTHER, 0, 0).blockingGet().isPresent()).isFalse();
        assertThat(peer.cancel(id).blockingGet().orElseThrow()).isFalse();
    }

    private FakeFleet.Transport loop() {
        FakeFleet.Transport loop = new FakeFleet.Transport();
        loop.peer = fixture.fleet.transport.own;
        return loop;
    }

    @Test
    void theCopyOfALostHoldersAnswerIsFound() {
        StoredAnswer kept =
                new StoredAnswer(OTHER, Outcome.ANSWERED, 200, "application/json", "{}");
        fixture.fleet.answers.kept.put(OTHER, kept);

        TestSubscriber<ReadResult> reading = fixture.requests.follow(OTHER, 0).test();

        assertThat(end(reading)).isEqualTo(kept);
    }

    @Test
    void aStreamWhoseHolderIsLostEndsWithTheRestOfItsText() {
        StoredAnswer kept =
                new StoredAnswer(
                        OTHER,
                        Outcome.ANSWERED,
                        200,
                        "application/json",
                        "{\"answer\":{\"text\":\"abc\"}}");
        fixture.fleet.answers.kept.put(OTHER, kept);
        RequestPiece piece = RequestPiece.newBuilder().setTokens(2).setText("ab").build();
        CallHandler lost = fixture.fleet.transport.peer;
        fixture.fleet.transport.peer =
                (from, payload) -> {
                    fixture.fleet.transport.peer = lost;
                    return Single.just(
                            RequestReply.newBuilder()
                                    .setKnown(true)
                                    .addPieces(piece)
                                    .build()
                                    .toByteArray());
                };

        TestSubscriber<ReadResult> reading = fixture.requests.follow(OTHER, 0).test();

        List<TokenPiece> pieces = new ArrayList<>();
        reading.values().forEach(r -> pieces.addAll(r.pieces()));
        assertThat(pieces)
                .containsExactly(new TokenPiece(0, 2, "ab"), new TokenPiece(2, 0, "c"))
                .inOrder();
        assertThat(end(reading)).isEqualTo(kept);
    }

    @Test
    void aLostHolderWithoutCopyIsUnknown() {
        TestSubscriber<ReadResult> reading = fixture.requests.follow(OTHER, 0).test();
        fixture.advanceMillis(5_000);

        reading.assertError(
                e ->
                        ((BronzewheelException) e).code() == ErrorCode.EARLIER_ATTEMPT_UNKNOWN
                                && ((BronzewheelException) e).outcome() == Outcome.UNKNOWN);
    }
}
