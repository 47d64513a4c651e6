package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.claim.ClaimMessage.VoteRequest;
import org.bronzewheel.claim.ClaimMessage.Withdrawal;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/** The votes of one seat: for each key the claim that the seat voted for. */
final class VoteTable {
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final String seatVmId;
    private final long memoryStartNanos;

    /** UuidKeys created after this time are voted on by a later voter of the same seat. */
    private final long lastKeyEpochMillis;

    private final LinkedHashMap<IdempotencyKey, Vote> votes;
    private boolean frozen;

    VoteTable(
            ClaimSettings settings,
            ClaimRules rules,
            String seatVmId,
            long memoryStartNanos,
            long lastKeyEpochMillis) {
        this.settings = settings;
        this.rules = rules;
        this.seatVmId = seatVmId;
        this.memoryStartNanos = memoryStartNanos;
        this.lastKeyEpochMillis = lastKeyEpochMillis;
        this.votes = new LinkedHashMap<>();
    }

    private VoteTable(VoteTable other) {
        this.settings = other.settings;
        this.rules = other.rules;
        this.seatVmId = other.seatVmId;
        this.memoryStartNanos = other.memoryStartNanos;
        this.lastKeyEpochMillis = other.lastKeyEpochMillis;
        this.votes = new LinkedHashMap<>(other.votes);
        this.frozen = other.frozen;
    }

    VoteTable copy() {
        return new VoteTable(this);
    }

    /**
     * Replies to a claim with the vote of this seat, which is cast now if the seat has not voted on
     * the key. A frozen seat does not reply about keys that it has not voted on, because its heir
     * votes on them.
     */
    Optional<VoteReply> vote(VoteRequest request, KeyClockReading clock) {
        IdempotencyKey key = request.key();
        if (rules.keysExpire() && clock.isExpired(key, settings)) {
            return Optional.of(reply(request, VoteResult.EXPIRED));
        }
        if (clock.isTooFarAhead(key, settings)) {
            return Optional.of(reply(request, VoteResult.NOT_REMEMBERED));
        }
        Vote vote = votes.get(key);
        if (vote != null && vote.holder().isPresent() && rules.firstVoteStays()) {
            return Optional.of(held(request, vote));
        }
        if (frozen && rules.frozenSeatsAbstain()) {
            return Optional.empty();
        }
        VoteResult newVoteResult = newVoteResult(request, vote, clock);
        if (newVoteResult != VoteResult.HELD) {
            return Optional.of(reply(request, newVoteResult));
        }
        Vote cast = cast(key, request.requestId(), request.fingerprint(), vote, clock);
        return Optional.of(held(request, cast));
    }

    /**
     * Revokes the vote for a claim that will never be granted and reassigns it to the successor.
     */
    Optional<VoteReply> withdraw(Withdrawal withdrawal, KeyClockReading clock) {
        if (frozen && rules.frozenSeatsAbstain()) {
            return Optional.empty();
        }
        Vote vote = votes.get(withdrawal.key());
        if (vote != null && !vote.holder().equals(Optional.of(withdrawal.requestId()))) {
            return Optional.empty();
        }
        long votedNanos = vote == null ? clock.nowNanos() : vote.votedNanos();
        Optional<RequestId> withdrawn = Optional.of(withdrawal.requestId());
        votes.put(withdrawal.key(), new Vote(Optional.empty(), "", withdrawn, votedNanos));
        return withdrawal
                .successor()
                .flatMap(
                        successor ->
                                vote(
                                        new VoteRequest(
                                                withdrawal.key(),
                                                successor,
                                                withdrawal.successorFingerprint(),
                                                seatVmId),
                                        clock));
    }

    /** Discards votes on keys that every router refuses as expired. */
    void prune(long nowNanos) {
        long keepMillis =
                settings.retentionMillis()
                        + 2 * settings.maxClockSkewMillis()
                        + settings.evidenceMillis();
        Iterator<Vote> oldestFirst = votes.values().iterator();
        while (oldestFirst.hasNext()
                && nowNanos - oldestFirst.next().votedNanos()
                        > keepMillis * KeyClockReading.NANOS_PER_MILLI) {
            oldestFirst.remove();
        }
    }

    /** Permanently stops voting, before the votes are transferred. */
    void freeze() {
        frozen = true;
    }

    /** Adds the votes of the previous voter of the seat. */
    void inherit(List<TransferredVote> transferred, long nowNanos) {
        for (TransferredVote vote : transferred) {
            votes.put(
                    vote.key(),
                    new Vote(
                            Optional.of(vote.holder()),
                            vote.fingerprint(),
                            Optional.empty(),
                            nowNanos - vote.ageNanos()));
        }
    }

    /** Returns the votes to transfer to the heir of this seat, oldest first. */
    List<TransferredVote> transferable(long nowNanos) {
        List<TransferredVote> result = new ArrayList<>(votes.size());
        for (Map.Entry<IdempotencyKey, Vote> entry : votes.entrySet()) {
            Vote vote = entry.getValue();
            vote.holder()
                    .ifPresent(
                            holder ->
                                    result.add(
                                            new TransferredVote(
                                                    entry.getKey(),
                                                    holder,
                                                    vote.fingerprint(),
                                                    nowNanos - vote.votedNanos())));
        }
        return result;
    }

    long memoryStartNanos() {
        return memoryStartNanos;
    }

    long lastKeyEpochMillis() {
        return lastKeyEpochMillis;
    }

    int size() {
        return votes.size();
    }

    @Override
    public String toString() {
        return seatVmId + memoryStartNanos + votes + frozen;
    }

    private VoteResult newVoteResult(VoteRequest request, Vote vote, KeyClockReading clock) {
        if (rules.freshVoterAbstains() && !memoryCovers(request.key(), clock)) {
            return VoteResult.NOT_REMEMBERED;
        }
        boolean withdrawn =
                vote != null && vote.withdrawn().equals(Optional.of(request.requestId()));
        boolean full = vote == null && votes.size() >= settings.maxVotes();
        return withdrawn || full ? VoteResult.ABSTAINED : VoteResult.HELD;
    }

    private boolean memoryCovers(IdempotencyKey key, KeyClockReading clock) {
        long marginNanos = settings.warmUpMillis() * KeyClockReading.NANOS_PER_MILLI;
        FirstUseBounds time = clock.firstUse(key, settings);
        return memoryStartNanos - (time.earliestNanos() - marginNanos) < 0
                && isKeyOfThisVoter(key, clock);
    }

    private boolean isKeyOfThisVoter(IdempotencyKey key, KeyClockReading clock) {
        if (lastKeyEpochMillis == Long.MAX_VALUE) {
            return true;
        }
        if (key.createdAtEpochMillis().isPresent()) {
            return key.createdAtEpochMillis().getAsLong() <= lastKeyEpochMillis;
        }
        return clock.epochMillis() - settings.opaqueKeyAgeMillis() <= lastKeyEpochMillis;
    }

    private Vote cast(
            IdempotencyKey key,
            RequestId holder,
            String fingerprint,
            Vote old,
            KeyClockReading clock) {
        Optional<RequestId> withdrawn = old == null ? Optional.empty() : old.withdrawn();
        Vote vote = new Vote(Optional.of(holder), fingerprint, withdrawn, clock.nowNanos());
        votes.remove(key);
        votes.put(key, vote);
        return vote;
    }

    private VoteReply held(VoteRequest request, Vote vote) {
        return new VoteReply(
                request.key(),
                request.requestId(),
                seatVmId,
                VoteResult.HELD,
                vote.holder(),
                vote.fingerprint());
    }

    private VoteReply reply(VoteRequest request, VoteResult result) {
        return new VoteReply(
                request.key(), request.requestId(), seatVmId, result, Optional.empty(), "");
    }
}
