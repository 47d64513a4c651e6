package org.bronzewheel.claim;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.claim.ClaimMessage.ListOffer;
import org.bronzewheel.claim.ClaimMessage.ListQuery;
import org.bronzewheel.claim.ClaimMessage.Ping;
import org.bronzewheel.claim.ClaimMessage.Pong;
import org.bronzewheel.claim.ClaimMessage.SeatReceipt;
import org.bronzewheel.claim.ClaimMessage.SeatTransfer;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.claim.ClaimMessage.VoteRequest;
import org.bronzewheel.claim.ClaimMessage.Withdrawal;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.wire.ClaimFrame;
import org.bronzewheel.wire.ClaimKey;
import org.bronzewheel.wire.ClaimListAge;
import org.bronzewheel.wire.ClaimListOffer;
import org.bronzewheel.wire.ClaimListQuery;
import org.bronzewheel.wire.ClaimPing;
import org.bronzewheel.wire.ClaimPong;
import org.bronzewheel.wire.ClaimRequestId;
import org.bronzewheel.wire.ClaimSeatReceipt;
import org.bronzewheel.wire.ClaimSeatTransfer;
import org.bronzewheel.wire.ClaimVote;
import org.bronzewheel.wire.ClaimVoteReply;
import org.bronzewheel.wire.ClaimVoteRequest;
import org.bronzewheel.wire.ClaimVoter;
import org.bronzewheel.wire.ClaimWithdrawal;

/** Encodes and decodes messages of the claim channel. */
final class ClaimCodec {
    private ClaimCodec() {}

    static byte[] encode(ClaimMessage message) {
        ClaimFrame.Builder frame = ClaimFrame.newBuilder();
        if (message instanceof VoteRequest request) {
            frame.setVoteRequest(
                    ClaimVoteRequest.newBuilder()
                            .setKey(encode(request.key()))
                            .setRequestId(encode(request.requestId()))
                            .setFingerprint(request.fingerprint())
                            .setSeatVmId(request.seatVmId()));
        } else if (message instanceof VoteReply reply) {
            frame.setVoteReply(encode(reply));
        } else if (message instanceof Withdrawal withdrawal) {
            frame.setWithdrawal(encode(withdrawal));
        } else if (message instanceof Ping ping) {
            frame.setPing(ClaimPing.newBuilder().setNonce(ping.nonce()));
        } else if (message instanceof Pong pong) {
            frame.setPong(encode(pong));
        } else if (message instanceof ListQuery query) {
            frame.setListQuery(ClaimListQuery.newBuilder().setRevision(query.revision()));
        } else if (message instanceof ListOffer offer) {
            frame.setListOffer(encode(offer.list()));
        } else if (message instanceof SeatTransfer transfer) {
            frame.setSeatTransfer(encode(transfer));
        } else if (message instanceof SeatReceipt receipt) {
            frame.setSeatReceipt(
                    ClaimSeatReceipt.newBuilder()
                            .setSeatVmId(receipt.seatVmId())
                            .setSeatIncarnation(receipt.seatIncarnation())
                            .setPart(receipt.part()));
        }
        return frame.build().toByteArray();
    }

    /** Returns the decoded message, or empty if the payload is invalid. */
    static Optional<ClaimMessage> decode(byte[] payload) {
        try {
            return decode(ClaimFrame.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static Optional<ClaimMessage> decode(ClaimFrame frame) {
        return switch (frame.getBodyCase()) {
            case VOTE_REQUEST -> Optional.of(decode(frame.getVoteRequest()));
            case VOTE_REPLY -> decode(frame.getVoteReply());
            case WITHDRAWAL -> Optional.of(decode(frame.getWithdrawal()));
            case PING -> Optional.of(new Ping(frame.getPing().getNonce()));
            case PONG -> Optional.of(decode(frame.getPong()));
            case LIST_QUERY -> Optional.of(new ListQuery(frame.getListQuery().getRevision()));
            case LIST_OFFER -> Optional.of(new ListOffer(decode(frame.getListOffer())));
            case SEAT_TRANSFER -> Optional.of(decode(frame.getSeatTransfer()));
            case SEAT_RECEIPT ->
                    Optional.of(
                            new SeatReceipt(
                                    frame.getSeatReceipt().getSeatVmId(),
                                    frame.getSeatReceipt().getSeatIncarnation(),
                                    frame.getSeatReceipt().getPart()));
            case BODY_NOT_SET -> Optional.empty();
        };
    }

    private static ClaimVoteReply.Builder encode(VoteReply reply) {
        ClaimVoteReply.Builder builder =
                ClaimVoteReply.newBuilder()
                        .setKey(encode(reply.key()))
                        .setRequestId(encode(reply.requestId()))
                        .setSeatVmId(reply.seatVmId())
                        .setResult(reply.result().number())
                        .setHolderFingerprint(reply.holderFingerprint());
        reply.holder().ifPresent(holder -> builder.setHolder(encode(holder)));
        return builder;
    }

    private static Optional<ClaimMessage> decode(ClaimVoteReply reply) {
        Optional<RequestId> holder =
                reply.hasHolder() ? Optional.of(decode(reply.getHolder())) : Optional.empty();
        return VoteResult.ofNumber(reply.getResult())
                .map(
                        result ->
                                new VoteReply(
                                        decode(reply.getKey()),
                                        decode(reply.getRequestId()),
                                        reply.getSeatVmId(),
                                        result,
                                        holder,
                                        reply.getHolderFingerprint()));
    }

    private static VoteRequest decode(ClaimVoteRequest request) {
        return new VoteRequest(
                decode(request.getKey()),
                decode(request.getRequestId()),
                request.getFingerprint(),
                request.getSeatVmId());
    }

    private static ClaimWithdrawal.Builder encode(Withdrawal withdrawal) {
        ClaimWithdrawal.Builder builder =
                ClaimWithdrawal.newBuilder()
                        .setKey(encode(withdrawal.key()))
                        .setRequestId(encode(withdrawal.requestId()))
                        .setSeatVmId(withdrawal.seatVmId())
                        .setSuccessorFingerprint(withdrawal.successorFingerprint());
        withdrawal.successor().ifPresent(id -> builder.setSuccessor(encode(id)));
        return builder;
    }

    private static Withdrawal decode(ClaimWithdrawal withdrawal) {
        Optional<RequestId> successor =
                withdrawal.hasSuccessor()
                        ? Optional.of(decode(withdrawal.getSuccessor()))
                        : Optional.empty();
        return new Withdrawal(
                decode(withdrawal.getKey()),
                decode(withdrawal.getRequestId()),
                withdrawal.getSeatVmId(),
                successor,
                withdrawal.getSuccessorFingerprint());
    }

    private static ClaimPong.Builder encode(Pong pong) {
        ClaimPong.Builder builder =
                ClaimPong.newBuilder()
                        .setNonce(pong.nonce())
                        .setUpNanos(pong.upNanos())
                        .addAllKnownRevisions(pong.knownRevisions())
                        .addAllInheritedSeats(pong.inheritedSeats())
                        .setFrozen(pong.frozen());
        for (ListAge list : pong.lists()) {
            builder.addLists(
                    ClaimListAge.newBuilder()
                            .setRevision(list.revision())
                            .setAgeNanos(list.ageNanos()));
        }
        return builder;
    }

    private static Pong decode(ClaimPong pong) {
        List<ListAge> lists =
                pong.getListsList().stream()
                        .map(list -> new ListAge(list.getRevision(), list.getAgeNanos()))
                        .toList();
        return new Pong(
                pong.getNonce(),
                pong.getUpNanos(),
                lists,
                List.copyOf(pong.getKnownRevisionsList()),
                List.copyOf(pong.getInheritedSeatsList()),
                pong.getFrozen());
    }

    private static ClaimListOffer.Builder encode(VoterList list) {
        ClaimListOffer.Builder builder = ClaimListOffer.newBuilder().setRevision(list.revision());
        for (Voter voter : list.voters()) {
            builder.addVoters(
                    ClaimVoter.newBuilder()
                            .setVmId(voter.vmId())
                            .setFailureDomain(voter.failureDomain()));
        }
        return builder;
    }

    private static VoterList decode(ClaimListOffer offer) {
        return new VoterList(
                offer.getRevision(),
                offer.getVotersList().stream()
                        .map(voter -> new Voter(voter.getVmId(), voter.getFailureDomain()))
                        .toList());
    }

    private static ClaimSeatTransfer.Builder encode(SeatTransfer transfer) {
        ClaimSeatTransfer.Builder builder =
                ClaimSeatTransfer.newBuilder()
                        .setSeatVmId(transfer.seatVmId())
                        .setSeatIncarnation(transfer.seatIncarnation())
                        .setPart(transfer.part())
                        .setParts(transfer.parts())
                        .setUpNanos(transfer.upNanos())
                        .setFrozenAtEpochMillis(transfer.frozenAtEpochMillis())
                        .setHeirIncarnation(transfer.heirIncarnation());
        for (TransferredVote vote : transfer.votes()) {
            builder.addVotes(
                    ClaimVote.newBuilder()
                            .setKey(encode(vote.key()))
                            .setHolder(encode(vote.holder()))
                            .setFingerprint(vote.fingerprint())
                            .setAgeNanos(vote.ageNanos()));
        }
        return builder;
    }

    private static SeatTransfer decode(ClaimSeatTransfer transfer) {
        List<TransferredVote> votes =
                transfer.getVotesList().stream()
                        .map(
                                vote ->
                                        new TransferredVote(
                                                decode(vote.getKey()),
                                                decode(vote.getHolder()),
                                                vote.getFingerprint(),
                                                vote.getAgeNanos()))
                        .toList();
        return new SeatTransfer(
                transfer.getSeatVmId(),
                transfer.getSeatIncarnation(),
                transfer.getPart(),
                transfer.getParts(),
                transfer.getUpNanos(),
                transfer.getFrozenAtEpochMillis(),
                transfer.getHeirIncarnation(),
                votes);
    }

    private static ClaimKey encode(IdempotencyKey key) {
        return ClaimKey.newBuilder().setWorkspace(key.workspace()).setText(key.text()).build();
    }

    private static IdempotencyKey decode(ClaimKey key) {
        return new IdempotencyKey(key.getWorkspace(), key.getText());
    }

    private static ClaimRequestId encode(RequestId id) {
        return ClaimRequestId.newBuilder()
                .setVmId(id.vmId())
                .setIncarnation(id.incarnation())
                .setSequence(id.sequence())
                .build();
    }

    private static RequestId decode(ClaimRequestId id) {
        return new RequestId(id.getVmId(), id.getIncarnation(), id.getSequence());
    }
}
