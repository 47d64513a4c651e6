package org.bronzewheel.claim;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.request.RequestId;

/** Counts the votes in the replies to a claim. */
final class VoteTally {
    private static final Comparator<RequestId> ORDER =
            Comparator.comparing(RequestId::vmId)
                    .thenComparingLong(RequestId::incarnation)
                    .thenComparingLong(RequestId::sequence);

    private final PendingClaim claim;
    private final RequestId self;
    private final Map<RequestId, String> rivals = new TreeMap<>(ORDER);

    VoteTally(PendingClaim claim) {
        this.claim = claim;
        this.self = claim.request().requestId();
        for (VoteReply reply : claim.replies().values()) {
            reply.holder()
                    .filter(holder -> !holder.equals(self))
                    .ifPresent(holder -> rivals.put(holder, reply.holderFingerprint()));
        }
    }

    /** Returns whether a request has a majority of each group. */
    boolean hasWon(RequestId requestId) {
        return !claim.groups().isEmpty()
                && claim.groups().stream()
                        .allMatch(group -> votes(group, requestId) >= majority(group));
    }

    /** Returns whether any seat has voted for this claim. */
    boolean hasAnyVote() {
        return claim.replies().values().stream()
                .anyMatch(reply -> reply.holder().equals(Optional.of(self)));
    }

    /** Returns whether the claim can no longer get a majority in some group. */
    boolean isLost() {
        return claim.groups().stream()
                .anyMatch(group -> votes(group, self) + missingReplies(group) < majority(group));
    }

    /** Returns another request that has a majority of each group. */
    Optional<RequestId> winner() {
        return rivals.keySet().stream().filter(this::hasWon).findFirst();
    }

    /** Returns another request that has a majority of some group. */
    Optional<RequestId> leader() {
        return rivals.keySet().stream()
                .filter(
                        rival ->
                                claim.groups().stream()
                                        .anyMatch(group -> votes(group, rival) >= majority(group)))
                .findFirst();
    }

    /**
     * Returns the first request with votes in the order of request ids, if it precedes this one.
     */
    Optional<RequestId> earlierRival() {
        return rivals.keySet().stream().findFirst().filter(rival -> ORDER.compare(rival, self) < 0);
    }

    boolean hasRivals() {
        return !rivals.isEmpty();
    }

    String fingerprintOf(RequestId rival) {
        return rivals.get(rival);
    }

    boolean hasResult(VoteResult result) {
        return claim.replies().values().stream().anyMatch(reply -> reply.result() == result);
    }

    /** Returns the seats of all groups in order of VM ids. */
    static Set<String> seats(PendingClaim claim) {
        Set<String> seats = new TreeSet<>();
        claim.groups().forEach(seats::addAll);
        return seats;
    }

    private long votes(List<String> group, RequestId requestId) {
        return group.stream()
                .map(claim.replies()::get)
                .filter(reply -> reply != null && reply.holder().equals(Optional.of(requestId)))
                .count();
    }

    private long missingReplies(List<String> group) {
        return group.stream().filter(seat -> !claim.replies().containsKey(seat)).count();
    }

    private static int majority(List<String> group) {
        return group.size() / 2 + 1;
    }
}
