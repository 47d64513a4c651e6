package org.bronzewheel.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.claim.ClaimMessage.ListOffer;
import org.bronzewheel.claim.ClaimMessage.ListQuery;
import org.bronzewheel.claim.ClaimMessage.Ping;
import org.bronzewheel.claim.ClaimMessage.Pong;
import org.bronzewheel.claim.ClaimMessage.SeatReceipt;
import org.bronzewheel.claim.ClaimMessage.SeatTransfer;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.claim.ClaimMessage.VoteRequest;
import org.bronzewheel.claim.ClaimMessage.Withdrawal;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.machine.StateMachine;
import org.bronzewheel.machine.Step;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Peer;

/**
 * The claim protocol of one router as a deterministic state machine: it claims idempotency keys for
 * the requests of this router and votes on the claims of all routers.
 *
 * <p>The wall clock is read only through {@link #setWallClock} and is used only to relate the
 * creation time in a key to the monotonic clock of this router.
 */
public final class ClaimMachine implements StateMachine<ClaimMessage, ClaimEvent> {
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final Peer self;
    private final ListEvidence lists;
    private final LocalSeats seats;
    private final Map<RequestId, PendingClaim> claims;
    private final LinkedHashMap<RequestId, Grant> grants;
    private final Map<IdempotencyKey, RequestId> ownRequests;
    private long epochMillisAtZero;
    private long transferredNanos;
    private boolean handedOverEmitted;

    /**
     * Creates a machine that remembers no votes.
     *
     * @param settings timeouts and limits
     * @param self the VM and incarnation of this router
     * @param nowNanos the monotonic time of the start of the process, in nanoseconds
     * @throws org.bronzewheel.error.BronzewheelException with INVALID_SETTING where the settings
     *     contradict each other
     */
    public ClaimMachine(ClaimSettings settings, Peer self, long nowNanos) {
        this(settings, ClaimRules.ALL, self, nowNanos);
    }

    ClaimMachine(ClaimSettings settings, ClaimRules rules, Peer self, long nowNanos) {
        settings.check();
        this.settings = settings;
        this.rules = rules;
        this.self = self;
        this.lists = new ListEvidence(settings, rules, self, nowNanos);
        this.seats = new LocalSeats(settings, rules, self, nowNanos);
        this.claims = new LinkedHashMap<>();
        this.grants = new LinkedHashMap<>();
        this.ownRequests = new HashMap<>();
    }

    private ClaimMachine(ClaimMachine other) {
        this.settings = other.settings;
        this.rules = other.rules;
        this.self = other.self;
        this.lists = other.lists.copy();
        this.seats = other.seats.copy();
        this.transferredNanos = other.transferredNanos;
        this.handedOverEmitted = other.handedOverEmitted;
        this.claims = new LinkedHashMap<>(other.claims);
        this.grants = new LinkedHashMap<>(other.grants);
        this.ownRequests = new HashMap<>(other.ownRequests);
        this.epochMillisAtZero = other.epochMillisAtZero;
    }

    /** Returns an independent machine in the same state. */
    ClaimMachine copy() {
        return new ClaimMachine(this);
    }

    /**
     * Sets the wall clock.
     *
     * @param epochMillis the time in milliseconds since the epoch
     * @param nowNanos the monotonic time at the same moment, in nanoseconds
     */
    public void setWallClock(long epochMillis, long nowNanos) {
        epochMillisAtZero = epochMillis - nowNanos / KeyClockReading.NANOS_PER_MILLI;
    }

    /**
     * Applies a VM list from the platform or from a peer.
     *
     * @param list its routers
     * @param nowNanos the monotonic time, in nanoseconds
     * @return messages to send and events
     */
    public Step<ClaimMessage, ClaimEvent> updateList(VoterList list, long nowNanos) {
        StepBuilder step = new StepBuilder();
        lists.add(list, nowNanos);
        step.sendAll(lists.pingIfDue(nowNanos));
        advanceAll(step, nowNanos);
        return step.build();
    }

    /**
     * Starts a claim. Its decision is reported as an event, either in the returned step or later.
     *
     * @param request the key and the request that claims it
     * @param nowNanos the monotonic time, in nanoseconds
     * @return messages to send and events
     */
    public Step<ClaimMessage, ClaimEvent> claim(ClaimRequest request, long nowNanos) {
        StepBuilder step = new StepBuilder();
        Optional<ClaimDecision> early = decideWithoutVotes(request, nowNanos);
        if (early.isPresent()) {
            step.emit(new ClaimEvent.Decided(request.requestId(), early.get()));
            return step.build();
        }
        begin(request, nowNanos);
        advance(request.requestId(), step, nowNanos);
        return step.build();
    }

    /**
     * Checks whether a granted request may still be sent.
     *
     * @param requestId the request
     * @param nowNanos the monotonic time, in nanoseconds
     * @return true while the grant is valid
     */
    public boolean isStillGranted(RequestId requestId, long nowNanos) {
        Grant grant = grants.get(requestId);
        if (grant == null) {
            return false;
        }
        long validNanos = settings.grantMillis() * KeyClockReading.NANOS_PER_MILLI;
        return nowNanos - grant.startedNanos() < validNanos || !rules.grantsExpire();
    }

    /** Returns whether a claim is undecided. */
    boolean isOpen(RequestId requestId) {
        return claims.containsKey(requestId);
    }

    @Override
    public Step<ClaimMessage, ClaimEvent> receive(Peer from, ClaimMessage message, long nowNanos) {
        StepBuilder step = new StepBuilder();
        if (message instanceof VoteRequest request) {
            answerVoteRequest(from, request, step, nowNanos);
        } else if (message instanceof VoteReply reply) {
            handleVoteReply(reply, step, nowNanos);
        } else if (message instanceof Withdrawal withdrawal) {
            handleWithdrawal(from, withdrawal, step, nowNanos);
        } else if (message instanceof Ping ping) {
            step.send(from.vmId(), answer(ping, nowNanos));
        } else if (message instanceof Pong pong) {
            step.sendAll(lists.handlePong(from, pong, nowNanos));
            advanceAll(step, nowNanos);
        } else if (message instanceof ListQuery query) {
            lists.answer(query).ifPresent(offer -> step.send(from.vmId(), offer));
        } else if (message instanceof ListOffer offer) {
            lists.add(offer.list(), nowNanos);
            advanceAll(step, nowNanos);
        } else if (message instanceof SeatTransfer part) {
            seats.receive(part, nowNanos).ifPresent(receipt -> step.send(from.vmId(), receipt));
        } else if (message instanceof SeatReceipt receipt) {
            seats.confirm(from, receipt);
            emitHandedOver(step);
        }
        return step.build();
    }

    @Override
    public Step<ClaimMessage, ClaimEvent> tick(long nowNanos) {
        StepBuilder step = new StepBuilder();
        seats.prune(nowNanos);
        pruneGrants(nowNanos);
        step.sendAll(lists.pingIfDue(nowNanos));
        resendTransfers(step, nowNanos);
        advanceAll(step, nowNanos);
        return step.build();
    }

    /**
     * Permanently stops claiming and voting and transfers the votes to one other router. An event
     * reports when that router has confirmed all of them. Does nothing if no other router responds.
     *
     * @param nowNanos the monotonic time, in nanoseconds
     * @return messages to send and events
     */
    public Step<ClaimMessage, ClaimEvent> handOver(long nowNanos) {
        StepBuilder step = new StepBuilder();
        Optional<Peer> heir = lists.selectHeir(nowNanos);
        if (heir.isPresent() && !seats.isFrozen()) {
            seats.freeze(heir.get(), clock(nowNanos));
            transferredNanos = nowNanos;
            step.sendAll(seats.transfers());
        }
        return step.build();
    }

    /**
     * Returns the number of remembered votes.
     *
     * @return the number of keys that the seats of this router have voted on
     */
    public int voteCount() {
        return seats.size();
    }

    /** Returns the seats that this router has inherited and votes for in addition to its own. */
    Set<String> inheritedSeats() {
        return seats.inheritedSeats();
    }

    @Override
    public String toString() {
        return self + " " + lists + seats + claims + grants;
    }

    private Optional<ClaimDecision> decideWithoutVotes(ClaimRequest request, long nowNanos) {
        if (seats.isFrozen()) {
            return Optional.of(refused(ErrorCode.DRAINING));
        }
        KeyClockReading clock = clock(nowNanos);
        RequestId own = ownRequests.get(request.key());
        if (own != null) {
            return Optional.of(joinOwn(own, request.fingerprint()));
        }
        if (rules.keysExpire() && clock.isExpired(request.key(), settings)) {
            return Optional.of(refused(ErrorCode.KEY_EXPIRED));
        }
        if (clock.isTooFarAhead(request.key(), settings)) {
            return Optional.of(
                    new ClaimDecision.Refused(
                            ErrorCode.KEY_NOT_REMEMBERED, settings.evidenceMillis()));
        }
        return Optional.empty();
    }

    private ClaimDecision joinOwn(RequestId own, String fingerprint) {
        PendingClaim claim = claims.get(own);
        String held = claim == null ? grants.get(own).fingerprint() : claim.request().fingerprint();
        return join(own, held, fingerprint);
    }

    private static ClaimDecision join(RequestId holder, String held, String fingerprint) {
        return held.equals(fingerprint)
                ? new ClaimDecision.HeldBy(holder)
                : refused(ErrorCode.KEY_REUSED);
    }

    private static ClaimDecision refused(ErrorCode code) {
        return new ClaimDecision.Refused(code, 0);
    }

    private void begin(ClaimRequest request, long nowNanos) {
        long waitMillis = Math.min(request.deadlineMillis(), settings.claimMillis());
        PendingClaim claim =
                new PendingClaim(
                        request,
                        clock(nowNanos).firstUse(request.key(), settings),
                        nowNanos,
                        nowNanos + waitMillis * KeyClockReading.NANOS_PER_MILLI,
                        nowNanos,
                        List.of(),
                        Map.of());
        claims.put(request.requestId(), claim);
        ownRequests.put(request.key(), request.requestId());
    }

    private void advanceAll(StepBuilder step, long nowNanos) {
        for (RequestId requestId : List.copyOf(claims.keySet())) {
            advance(requestId, step, nowNanos);
        }
    }

    private void advance(RequestId requestId, StepBuilder step, long nowNanos) {
        PendingClaim claim = claims.get(requestId);
        if (claim == null) {
            return;
        }
        if (claim.groups().isEmpty()) {
            requestVotes(claim, step, nowNanos);
        } else if (nowNanos - claim.votesRequestedNanos() >= nanos(settings.resendMillis())) {
            claims.put(requestId, claim.withVotesRequested(nowNanos));
            requestMissingVotes(claim, step, nowNanos);
        }
        decide(requestId, step, nowNanos);
    }

    private void requestVotes(PendingClaim claim, StepBuilder step, long nowNanos) {
        Optional<List<List<String>>> groups =
                lists.groups(claim.request().key(), claim.time(), nowNanos);
        if (groups.isPresent()) {
            PendingClaim withGroups = claim.withGroups(groups.get()).withVotesRequested(nowNanos);
            claims.put(claim.request().requestId(), withGroups);
            requestMissingVotes(withGroups, step, nowNanos);
        }
    }

    private void requestMissingVotes(PendingClaim claim, StepBuilder step, long nowNanos) {
        for (String seat : VoteTally.seats(claim)) {
            if (!claim.replies().containsKey(seat)) {
                requestVote(claim.request(), seat, step, nowNanos);
            }
        }
    }

    private void requestVote(ClaimRequest request, String seat, StepBuilder step, long nowNanos) {
        VoteRequest message =
                new VoteRequest(request.key(), request.requestId(), request.fingerprint(), seat);
        for (String vmId : routersFor(seat)) {
            if (vmId.equals(self.vmId())) {
                seats.vote(message, clock(nowNanos)).ifPresent(this::store);
            } else {
                step.send(vmId, message);
            }
        }
    }

    private void answerVoteRequest(
            Peer from, VoteRequest request, StepBuilder step, long nowNanos) {
        seats.vote(request, clock(nowNanos)).ifPresent(reply -> step.send(from.vmId(), reply));
    }

    private void handleVoteReply(VoteReply reply, StepBuilder step, long nowNanos) {
        store(reply);
        decide(reply.requestId(), step, nowNanos);
    }

    /**
     * Stores a reply, unless it reports no vote and another router may hold the votes of the seat.
     */
    private void store(VoteReply reply) {
        boolean hasOtherRouters = routersFor(reply.seatVmId()).size() > 1;
        if (reply.result() != VoteResult.HELD && hasOtherRouters) {
            return;
        }
        claims.computeIfPresent(reply.requestId(), (requestId, claim) -> claim.withReply(reply));
    }

    private void handleWithdrawal(
            Peer from, Withdrawal withdrawal, StepBuilder step, long nowNanos) {
        RequestId requestId = withdrawal.requestId();
        boolean isOwner =
                from.vmId().equals(requestId.vmId())
                        && from.incarnation() == requestId.incarnation();
        if (!isOwner) {
            return;
        }
        Optional<VoteReply> reassigned = seats.withdraw(withdrawal, clock(nowNanos));
        reassigned.ifPresent(reply -> handleReassignedVote(reply, step, nowNanos));
    }

    /** Tells a claim of a vote that passed to it. */
    private void handleReassignedVote(VoteReply reply, StepBuilder step, long nowNanos) {
        String claimant = reply.requestId().vmId();
        if (claimant.equals(self.vmId())) {
            handleVoteReply(reply, step, nowNanos);
        } else {
            step.send(claimant, reply);
        }
    }

    private void decide(RequestId requestId, StepBuilder step, long nowNanos) {
        PendingClaim claim = claims.get(requestId);
        if (claim == null) {
            return;
        }
        VoteTally tally = new VoteTally(claim);
        if (nowNanos - claim.deadlineNanos() >= 0) {
            endAtDeadline(claim, tally, step, nowNanos);
        } else if (tally.hasWon(requestId) || (!rules.majorityGrants() && tally.hasAnyVote())) {
            grant(claim, step);
        } else if (tally.winner().isPresent()) {
            yieldTo(tally.winner().get(), claim, tally, step, nowNanos);
        } else if (shouldYield(claim, tally, nowNanos)) {
            yieldTo(tally.earlierRival().orElseThrow(), claim, tally, step, nowNanos);
        } else if (tally.isLost() && !tally.hasRivals()) {
            abandon(claim, refused(codeWithoutRivals(tally)), step, nowNanos);
        }
    }

    private boolean shouldYield(PendingClaim claim, VoteTally tally, long nowNanos) {
        boolean waited = nowNanos - claim.startedNanos() >= nanos(settings.yieldMillis());
        return tally.earlierRival().isPresent() && (waited || tally.isLost());
    }

    private void grant(PendingClaim claim, StepBuilder step) {
        ClaimRequest request = claim.request();
        claims.remove(request.requestId());
        grants.put(
                request.requestId(),
                new Grant(request.key(), request.fingerprint(), claim.startedNanos()));
        step.emit(
                new ClaimEvent.Decided(
                        request.requestId(), new ClaimDecision.Granted(request.requestId())));
    }

    private void endAtDeadline(
            PendingClaim claim, VoteTally tally, StepBuilder step, long nowNanos) {
        if (tally.leader().isPresent()) {
            yieldTo(tally.leader().get(), claim, tally, step, nowNanos);
        } else if (tally.hasRivals()) {
            abandon(claim, refused(ErrorCode.CLAIM_SPLIT), step, nowNanos);
        } else {
            abandon(claim, refused(codeWithoutRivals(tally)), step, nowNanos);
        }
    }

    private static ErrorCode codeWithoutRivals(VoteTally tally) {
        if (tally.hasResult(VoteResult.EXPIRED)) {
            return ErrorCode.KEY_EXPIRED;
        }
        return tally.hasResult(VoteResult.NOT_REMEMBERED)
                ? ErrorCode.KEY_NOT_REMEMBERED
                : ErrorCode.CLAIM_UNAVAILABLE;
    }

    private void yieldTo(
            RequestId rival, PendingClaim claim, VoteTally tally, StepBuilder step, long nowNanos) {
        String fingerprint = tally.fingerprintOf(rival);
        end(claim, join(rival, fingerprint, claim.request().fingerprint()), step);
        withdraw(claim, Optional.of(rival), fingerprint, step, nowNanos);
    }

    private void abandon(
            PendingClaim claim, ClaimDecision decision, StepBuilder step, long nowNanos) {
        end(claim, decision, step);
        withdraw(claim, Optional.empty(), "", step, nowNanos);
    }

    private void end(PendingClaim claim, ClaimDecision decision, StepBuilder step) {
        ClaimRequest request = claim.request();
        if (rules.withdrawalIsFinal()) {
            claims.remove(request.requestId());
            ownRequests.remove(request.key());
        }
        step.emit(new ClaimEvent.Decided(request.requestId(), decision));
    }

    private void withdraw(
            PendingClaim claim,
            Optional<RequestId> successor,
            String fingerprint,
            StepBuilder step,
            long nowNanos) {
        ClaimRequest request = claim.request();
        for (String seat : VoteTally.seats(claim)) {
            Withdrawal message =
                    new Withdrawal(
                            request.key(), request.requestId(), seat, successor, fingerprint);
            for (String vmId : routersFor(seat)) {
                if (vmId.equals(self.vmId())) {
                    handleWithdrawal(self, message, step, nowNanos);
                } else {
                    step.send(vmId, message);
                }
            }
        }
    }

    /** Returns the routers that may vote for a seat. */
    private Set<String> routersFor(String seat) {
        Set<String> vmIds = new LinkedHashSet<>(lists.routersFor(seat));
        if (seats.inheritedSeats().contains(seat)) {
            vmIds.add(self.vmId());
        }
        return vmIds;
    }

    private Pong answer(Ping ping, long nowNanos) {
        return lists.answer(ping, seats.inheritedSeats(), seats.isFrozen(), nowNanos);
    }

    private void resendTransfers(StepBuilder step, long nowNanos) {
        if (seats.isFrozen() && nowNanos - transferredNanos >= nanos(settings.resendMillis())) {
            transferredNanos = nowNanos;
            step.sendAll(seats.transfers());
        }
    }

    private void emitHandedOver(StepBuilder step) {
        if (seats.isHandedOver() && !handedOverEmitted) {
            handedOverEmitted = true;
            step.emit(new ClaimEvent.HandedOver());
        }
    }

    private void pruneGrants(long nowNanos) {
        long keepNanos = nanos(settings.retentionMillis());
        grants.values()
                .removeIf(
                        grant -> {
                            boolean old = nowNanos - grant.startedNanos() > keepNanos;
                            if (old) {
                                ownRequests.remove(grant.key());
                            }
                            return old;
                        });
    }

    private KeyClockReading clock(long nowNanos) {
        return new KeyClockReading(
                nowNanos, epochMillisAtZero + nowNanos / KeyClockReading.NANOS_PER_MILLI);
    }

    private static long nanos(long millis) {
        return millis * KeyClockReading.NANOS_PER_MILLI;
    }
}
