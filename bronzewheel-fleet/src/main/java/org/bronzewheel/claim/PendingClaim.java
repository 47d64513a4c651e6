package org.bronzewheel.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.request.RequestId;

/**
 * An undecided claim of this router.
 *
 * @param request the key and the request that claims it
 * @param time bounds of the first use of the key
 * @param startedNanos when the claim began, in nanoseconds
 * @param deadlineNanos when the claim times out, in nanoseconds
 * @param votesRequestedNanos when votes were last requested, in nanoseconds
 * @param groups the voter groups in each of which the claim needs a majority, empty until the
 *     evidence is sufficient
 * @param replies the latest reply of each seat; a vote for this claim is never replaced
 */
record PendingClaim(
        ClaimRequest request,
        FirstUseBounds time,
        long startedNanos,
        long deadlineNanos,
        long votesRequestedNanos,
        List<List<String>> groups,
        Map<String, VoteReply> replies) {
    PendingClaim withGroups(List<List<String>> newGroups) {
        return new PendingClaim(
                request,
                time,
                startedNanos,
                deadlineNanos,
                votesRequestedNanos,
                newGroups,
                replies);
    }

    PendingClaim withVotesRequested(long newVotesRequestedNanos) {
        return new PendingClaim(
                request,
                time,
                startedNanos,
                deadlineNanos,
                newVotesRequestedNanos,
                groups,
                replies);
    }

    PendingClaim withReply(VoteReply reply) {
        VoteReply old = replies.get(reply.seatVmId());
        if (old != null && (isFor(old, request.requestId()) || outranks(old, reply))) {
            return this;
        }
        Map<String, VoteReply> newReplies = new HashMap<>(replies);
        newReplies.put(reply.seatVmId(), reply);
        return new PendingClaim(
                request,
                time,
                startedNanos,
                deadlineNanos,
                votesRequestedNanos,
                groups,
                newReplies);
    }

    private static boolean isFor(VoteReply reply, RequestId requestId) {
        return reply.holder().equals(Optional.of(requestId));
    }

    private static boolean outranks(VoteReply old, VoteReply reply) {
        return old.result() == VoteResult.HELD && reply.result() != VoteResult.HELD;
    }
}
