package org.bronzewheel.claim;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/** A message between the claim machines of two routers. */
public sealed interface ClaimMessage {
    /**
     * Asks for the vote of a seat.
     *
     * @param key the key
     * @param requestId the request that claims it
     * @param fingerprint the fingerprint of that request
     * @param seatVmId the seat
     */
    record VoteRequest(IdempotencyKey key, RequestId requestId, String fingerprint, String seatVmId)
            implements ClaimMessage {}

    /**
     * Tells the vote of a seat.
     *
     * @param key the key
     * @param requestId the request that asked
     * @param seatVmId the seat
     * @param result whether the seat has voted
     * @param holder the request that the seat voted for, with HELD only
     * @param holderFingerprint the fingerprint of that request, empty otherwise
     */
    record VoteReply(
            IdempotencyKey key,
            RequestId requestId,
            String seatVmId,
            VoteResult result,
            Optional<RequestId> holder,
            String holderFingerprint)
            implements ClaimMessage {}

    /**
     * Gives up a claim for good, so that its votes may pass to another claim.
     *
     * @param key the key
     * @param requestId the request that gives up
     * @param seatVmId the seat that may have voted for it
     * @param successor the request that gets the votes, or empty
     * @param successorFingerprint the fingerprint of that request, empty otherwise
     */
    record Withdrawal(
            IdempotencyKey key,
            RequestId requestId,
            String seatVmId,
            Optional<RequestId> successor,
            String successorFingerprint)
            implements ClaimMessage {}

    /**
     * Asks which lists a router uses.
     *
     * @param nonce matches the reply to the question
     */
    record Ping(long nonce) implements ClaimMessage {}

    /**
     * Tells which lists a router uses and since when.
     *
     * @param nonce the nonce of the question
     * @param upNanos the time since the start of the process, in nanoseconds
     * @param lists the newest lists used, by growing revision
     * @param knownRevisions all lists that the router knows and that may be in use
     * @param inheritedSeats VMs whose seats this router has taken over
     * @param frozen whether the own seat was handed over, so that this router claims no more
     */
    record Pong(
            long nonce,
            long upNanos,
            List<ListAge> lists,
            List<Long> knownRevisions,
            List<String> inheritedSeats,
            boolean frozen)
            implements ClaimMessage {}

    /**
     * Asks for the content of a list.
     *
     * @param revision its revision
     */
    record ListQuery(long revision) implements ClaimMessage {}

    /**
     * Hands a list over.
     *
     * @param list the list
     */
    record ListOffer(VoterList list) implements ClaimMessage {}

    /**
     * Hands a part of the votes of a seat to its heir.
     *
     * @param seatVmId the seat
     * @param seatIncarnation the process that held the seat first
     * @param part the number of this part, from 0
     * @param parts the number of all parts
     * @param upNanos the age of the seat's memory, in nanoseconds
     * @param frozenAtEpochMillis when the seat stopped voting, in milliseconds since the epoch
     * @param heirIncarnation the incarnation of the heir; no other may take the seat
     * @param votes the votes of this part
     */
    record SeatTransfer(
            String seatVmId,
            long seatIncarnation,
            long part,
            long parts,
            long upNanos,
            long frozenAtEpochMillis,
            long heirIncarnation,
            List<TransferredVote> votes)
            implements ClaimMessage {}

    /**
     * Confirms a part of a transfer.
     *
     * @param seatVmId the seat
     * @param seatIncarnation the process that held the seat first
     * @param part the number of the part
     */
    record SeatReceipt(String seatVmId, long seatIncarnation, long part) implements ClaimMessage {}
}
