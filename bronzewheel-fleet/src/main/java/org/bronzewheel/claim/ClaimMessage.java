package org.bronzewheel.claim;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/** A message between the claim machines of two routers. */
public sealed interface ClaimMessage {
    /**
     * Requests the vote of a seat.
     *
     * @param key the key
     * @param requestId the request that claims it
     * @param fingerprint the fingerprint of that request
     * @param seatVmId the seat
     */
    record VoteRequest(IdempotencyKey key, RequestId requestId, String fingerprint, String seatVmId)
            implements ClaimMessage {}

    /**
     * Reports the vote of a seat.
     *
     * @param key the key
     * @param requestId the request that the vote was requested for
     * @param seatVmId the seat
     * @param result the result of the vote request
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
     * Permanently abandons a claim, so that its votes can be reassigned to another claim.
     *
     * @param key the key
     * @param requestId the request whose claim is abandoned
     * @param seatVmId the seat that may have voted for it
     * @param successor the request that receives the vote, or empty
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
     * Asks a router which VM lists it uses.
     *
     * @param nonce matches the pong to the ping
     */
    record Ping(long nonce) implements ClaimMessage {}

    /**
     * Reports which VM lists a router uses and since when.
     *
     * @param nonce the nonce of the ping
     * @param upNanos the time since the start of the process, in nanoseconds
     * @param lists the latest lists used, in ascending order of revision
     * @param knownRevisions revisions of all lists that the router knows and that may be in use
     * @param inheritedSeats VMs whose seats this router has inherited
     * @param frozen whether this router has handed over its seat and makes no more claims
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
     * Requests the content of a list.
     *
     * @param revision its revision
     */
    record ListQuery(long revision) implements ClaimMessage {}

    /**
     * Sends the content of a list.
     *
     * @param list the list
     */
    record ListOffer(VoterList list) implements ClaimMessage {}

    /**
     * Transfers a part of the votes of a seat to its heir.
     *
     * @param seatVmId the seat
     * @param seatIncarnation the incarnation of the VM that the seat belongs to
     * @param part the number of this part, from 0
     * @param parts the number of all parts
     * @param upNanos how long the seat has remembered its votes, in nanoseconds
     * @param frozenAtEpochMillis when the seat stopped voting, in milliseconds since the epoch
     * @param heirIncarnation the incarnation of the heir; no other incarnation may accept the seat
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
     * Confirms the receipt of a part of a transfer.
     *
     * @param seatVmId the seat
     * @param seatIncarnation the incarnation of the VM that the seat belongs to
     * @param part the number of the part
     */
    record SeatReceipt(String seatVmId, long seatIncarnation, long part) implements ClaimMessage {}
}
