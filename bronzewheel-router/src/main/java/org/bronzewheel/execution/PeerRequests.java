package org.bronzewheel.execution;

import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.CallHandler;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.RequestCall;
import org.bronzewheel.wire.RequestCancel;
import org.bronzewheel.wire.RequestEnd;
import org.bronzewheel.wire.RequestPiece;
import org.bronzewheel.wire.RequestRead;
import org.bronzewheel.wire.RequestReply;

/** The channel between routers by which a request is read and cancelled at its holder. */
final class PeerRequests implements CallHandler {
    private static final long MAX_WAIT_MILLIS = 10_000;
    private static final long CALL_MARGIN_MILLIS = 1_000;

    private final PeerTransport transport;
    private final RequestTable table;
    private final Scheduler scheduler;

    PeerRequests(PeerTransport transport, RequestTable table, Scheduler scheduler) {
        this.transport = transport;
        this.table = table;
        this.scheduler = scheduler;
    }

    /** Reads a request at its holder; empty where the holder does not know it. */
    Single<Optional<ReadResult>> read(RequestId id, long offset, long waitMillis) {
        RequestRead read =
                RequestRead.newBuilder().setOffset(offset).setWaitMillis(waitMillis).build();
        RequestCall call =
                RequestCall.newBuilder().setRequestId(id.toString()).setRead(read).build();
        return call(id, call, waitMillis).map(reply -> result(id, reply));
    }

    /** Cancels a request at its holder; empty where the holder does not know it. */
    Single<Optional<Boolean>> cancel(RequestId id) {
        RequestCall call =
                RequestCall.newBuilder()
                        .setRequestId(id.toString())
                        .setCancel(RequestCancel.getDefaultInstance())
                        .build();
        return call(id, call, 0)
                .map(r -> r.getKnown() ? Optional.of(r.getCancelled()) : Optional.empty());
    }

    @Override
    public Single<byte[]> handle(Peer from, byte[] payload) {
        return Single.fromCallable(() -> RequestCall.parseFrom(payload))
                .onErrorResumeNext(PeerRequests::malformed)
                .flatMap(this::answer)
                .map(RequestReply::toByteArray);
    }

    private Single<RequestReply> answer(RequestCall call) {
        Optional<HeldRequest> held =
                RequestId.parse(call.getRequestId()).filter(table::isOwn).flatMap(table::find);
        if (held.isEmpty()) {
            return Single.just(RequestReply.getDefaultInstance());
        }
        if (call.hasCancel()) {
            boolean cancelled = held.get().cancel();
            return Single.just(
                    RequestReply.newBuilder().setKnown(true).setCancelled(cancelled).build());
        }
        long waitMillis = Math.min(call.getRead().getWaitMillis(), MAX_WAIT_MILLIS);
        return held.get()
                .read(call.getRead().getOffset(), waitMillis, scheduler)
                .map(PeerRequests::reply);
    }

    private Single<RequestReply> call(RequestId id, RequestCall call, long waitMillis) {
        long timeoutMillis = waitMillis + CALL_MARGIN_MILLIS;
        return transport
                .call(id.vmId(), Channel.REQUEST, call.toByteArray(), timeoutMillis)
                .map(RequestReply::parseFrom);
    }

    private static Single<RequestCall> malformed(Throwable error) {
        if (error instanceof InvalidProtocolBufferException) {
            return Single.error(
                    new BronzewheelException(
                            ErrorCode.MALFORMED_REQUEST, "a peer sent a malformed call"));
        }
        return Single.error(error);
    }

    private static RequestReply reply(ReadResult result) {
        RequestReply.Builder reply = RequestReply.newBuilder().setKnown(true);
        for (TokenPiece piece : result.pieces()) {
            reply.addPieces(
                    RequestPiece.newBuilder()
                            .setOffset(piece.offset())
                            .setTokens(piece.tokens())
                            .setText(piece.text()));
        }
        if (result.ended()) {
            reply.setEnd(end(result.answer()));
        }
        return reply.build();
    }

    private static RequestEnd end(StoredAnswer answer) {
        return RequestEnd.newBuilder()
                .setOutcome(answer.outcome().name())
                .setHttpStatus(answer.httpStatus())
                .setContentType(answer.contentType())
                .setBody(answer.body())
                .build();
    }

    private static Optional<ReadResult> result(RequestId id, RequestReply reply) {
        if (!reply.getKnown()) {
            return Optional.empty();
        }
        var pieces = reply.getPiecesList().stream().map(PeerRequests::piece).toList();
        StoredAnswer answer = reply.hasEnd() ? answer(id, reply.getEnd()) : null;
        return Optional.of(new ReadResult(pieces, answer));
    }

    private static TokenPiece piece(RequestPiece piece) {
        return new TokenPiece(piece.getOffset(), piece.getTokens(), piece.getText());
    }

    private static StoredAnswer answer(RequestId id, RequestEnd end) {
        return new StoredAnswer(
                id,
                Outcome.valueOf(end.getOutcome()),
                end.getHttpStatus(),
                end.getContentType(),
                end.getBody());
    }
}
