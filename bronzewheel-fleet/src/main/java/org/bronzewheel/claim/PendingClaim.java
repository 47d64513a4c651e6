package org.bronzewheel.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.request.RequestId;

/**
 * A claim of this router that is not yet decided.
 *
 * @param request the wish
 * @param time when the key may have been used first
 * @param startedNanos when the claim began, in nanoseconds
 * @param deadlineNanos when it ends undecided, in nanoseconds
 * @param askedNanos when votes were asked for last, in nanoseconds
 * @param groups the groups whose majorities it needs, empty while the evidence does not suffice
 * @param replies the newest reply of each seat; a vote for this claim is never replaced
 */
record PendingClaim(
        ClaimRequest request,
        FirstUseBounds time,
        long startedNanos,
        long deadlineNanos,
        long askedNanos,
        List<List<String>> groups,
        Map<String, VoteReply> replies) {
    PendingClaim withGroups(List<List<String>> newGroups) {
        return new PendingClaim(
                request, time, startedNanos, deadlineNanos, askedNanos, newGroups, replies);
    }

    PendingClaim withAsked(long newAskedNanos) {
        return new PendingClaim(
                request, time, startedNanos, deadlineNanos, newAskedNanos, groups, replies);
    }

    PendingClaim withReply(VoteReply reply) {
        VoteReply old = replies.get(reply.seatVmId());
        if (old != null && (isFor(old, request.requestId()) || outranks(old, reply))) {
            return this;
        }
        Map<String, VoteReply> newReplies = new HashMap<>(replies);
        newReplies.put(reply.seatVmId(), reply);
        return new PendingClaim(
                request, time, startedNanos, deadlineNanos, askedNanos, groups, newReplies);
    }

    private static boolean isFor(VoteReply reply, RequestId requestId) {
        return reply.holder().equals(Optional.of(requestId));
    }

    private static boolean outranks(VoteReply old, VoteReply reply) {
        return old.result() == VoteResult.HELD && reply.result() != VoteResult.HELD;
    }
}
