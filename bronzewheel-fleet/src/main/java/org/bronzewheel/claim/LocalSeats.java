package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzewheel.claim.ClaimMessage.SeatReceipt;
import org.bronzewheel.claim.ClaimMessage.SeatTransfer;
import org.bronzewheel.claim.ClaimMessage.VoteReply;
import org.bronzewheel.claim.ClaimMessage.VoteRequest;
import org.bronzewheel.claim.ClaimMessage.Withdrawal;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.transport.Peer;

/**
 * The seats that one router votes for: its own and those inherited from routers that shut down.
 *
 * <p>A seat has one voter at any time. It is frozen before its votes are sent, and they are sent to
 * one incarnation of one heir only. The heir votes only on keys created before the freeze; a later
 * process of the same VM votes only on keys created after its own start.
 */
final class LocalSeats {
    private static final int VOTES_PER_PART = 500;

    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final Peer self;
    private final VoteTable own;
    private final Map<SeatOwner, VoteTable> inherited;
    private final Map<SeatOwner, PartialSeatTransfer> incomplete;
    private final LinkedHashMap<SeatReceipt, SeatTransfer> unconfirmed;
    private Optional<Peer> heir;

    LocalSeats(ClaimSettings settings, ClaimRules rules, Peer self, long nowNanos) {
        this.settings = settings;
        this.rules = rules;
        this.self = self;
        this.own = new VoteTable(settings, rules, self.vmId(), nowNanos, Long.MAX_VALUE);
        this.inherited = new LinkedHashMap<>();
        this.incomplete = new HashMap<>();
        this.unconfirmed = new LinkedHashMap<>();
        this.heir = Optional.empty();
    }

    private LocalSeats(LocalSeats other) {
        this.settings = other.settings;
        this.rules = other.rules;
        this.self = other.self;
        this.own = other.own.copy();
        this.inherited = new LinkedHashMap<>();
        other.inherited.forEach((owner, table) -> inherited.put(owner, table.copy()));
        this.incomplete = new HashMap<>(other.incomplete);
        this.unconfirmed = new LinkedHashMap<>(other.unconfirmed);
        this.heir = other.heir;
    }

    LocalSeats copy() {
        return new LocalSeats(this);
    }

    /** Votes for a seat. A reply with a vote takes precedence over one without. */
    Optional<VoteReply> vote(VoteRequest request, KeyClockReading clock) {
        Optional<VoteReply> best = Optional.empty();
        for (VoteTable table : tablesOf(request.seatVmId())) {
            Optional<VoteReply> reply = table.vote(request, clock);
            if (reply.isPresent() && (best.isEmpty() || isHeld(reply.get()))) {
                best = reply;
            }
            if (best.isPresent() && isHeld(best.get())) {
                return best;
            }
        }
        return best;
    }

    /** Reassigns the vote of a seat to another claim; returns the reply for that claim. */
    Optional<VoteReply> withdraw(Withdrawal withdrawal, KeyClockReading clock) {
        return tablesOf(withdrawal.seatVmId()).stream()
                .map(table -> table.withdraw(withdrawal, clock))
                .flatMap(Optional::stream)
                .filter(LocalSeats::isHeld)
                .findFirst();
    }

    void prune(long nowNanos) {
        own.prune(nowNanos);
        inherited.values().forEach(table -> table.prune(nowNanos));
    }

    /** Freezes all seats and prepares their votes for an heir. */
    void freeze(Peer newHeir, KeyClockReading clock) {
        if (heir.isPresent()) {
            return;
        }
        heir = Optional.of(newHeir);
        Map<SeatOwner, VoteTable> all = new LinkedHashMap<>(inherited);
        all.put(new SeatOwner(self.vmId(), self.incarnation()), own);
        all.forEach(
                (owner, table) -> {
                    table.freeze();
                    addParts(owner, table, newHeir, clock);
                });
    }

    boolean isFrozen() {
        return heir.isPresent();
    }

    boolean isHandedOver() {
        return isFrozen() && unconfirmed.isEmpty();
    }

    /** Returns the parts that the heir has not confirmed. */
    List<Outgoing<ClaimMessage>> transfers() {
        List<Outgoing<ClaimMessage>> messages = new ArrayList<>();
        for (SeatTransfer part : unconfirmed.values()) {
            messages.add(new Outgoing<>(heir.orElseThrow().vmId(), part));
        }
        return messages;
    }

    void confirm(Peer from, SeatReceipt receipt) {
        if (heir.equals(Optional.of(from))) {
            unconfirmed.remove(receipt);
        }
    }

    /**
     * Accepts a part of a seat transfer; returns the receipt, or empty if this router is frozen or
     * the transfer is meant for another process.
     */
    Optional<SeatReceipt> receive(SeatTransfer part, long nowNanos) {
        if (part.heirIncarnation() != self.incarnation() || isFrozen()) {
            return Optional.empty();
        }
        SeatOwner owner = new SeatOwner(part.seatVmId(), part.seatIncarnation());
        if (!inherited.containsKey(owner)) {
            PartialSeatTransfer parts =
                    incomplete.getOrDefault(owner, PartialSeatTransfer.NONE).with(part);
            incomplete.put(owner, parts);
            parts.completeVotes().ifPresent(votes -> inherit(owner, part, votes, nowNanos));
        }
        return Optional.of(receiptOf(part));
    }

    Set<String> inheritedSeats() {
        Set<String> seats = new TreeSet<>();
        inherited.keySet().forEach(owner -> seats.add(owner.seatVmId()));
        return seats;
    }

    int size() {
        return own.size() + inherited.values().stream().mapToInt(VoteTable::size).sum();
    }

    @Override
    public String toString() {
        return own + "" + inherited + new TreeMap<>(sortable(incomplete)) + unconfirmed + heir;
    }

    private static Map<String, PartialSeatTransfer> sortable(
            Map<SeatOwner, PartialSeatTransfer> parts) {
        Map<String, PartialSeatTransfer> result = new HashMap<>();
        parts.forEach((owner, part) -> result.put(owner.toString(), part));
        return result;
    }

    private void inherit(
            SeatOwner owner, SeatTransfer part, List<TransferredVote> votes, long nowNanos) {
        VoteTable table =
                new VoteTable(
                        settings,
                        rules,
                        owner.seatVmId(),
                        nowNanos - part.upNanos(),
                        part.frozenAtEpochMillis());
        table.inherit(votes, nowNanos);
        inherited.put(owner, table);
        incomplete.remove(owner);
    }

    private void addParts(SeatOwner owner, VoteTable table, Peer newHeir, KeyClockReading clock) {
        List<TransferredVote> votes = table.transferable(clock.nowNanos());
        long parts = Math.max(1, (votes.size() + VOTES_PER_PART - 1) / VOTES_PER_PART);
        for (int part = 0; part < parts; part++) {
            int from = part * VOTES_PER_PART;
            int to = Math.min(votes.size(), from + VOTES_PER_PART);
            SeatTransfer transfer =
                    new SeatTransfer(
                            owner.seatVmId(),
                            owner.incarnation(),
                            part,
                            parts,
                            clock.nowNanos() - table.memoryStartNanos(),
                            Math.min(table.lastKeyEpochMillis(), clock.epochMillis()),
                            newHeir.incarnation(),
                            List.copyOf(votes.subList(from, to)));
            unconfirmed.put(receiptOf(transfer), transfer);
        }
    }

    private static SeatReceipt receiptOf(SeatTransfer part) {
        return new SeatReceipt(part.seatVmId(), part.seatIncarnation(), part.part());
    }

    private List<VoteTable> tablesOf(String seatVmId) {
        List<VoteTable> tables = new ArrayList<>();
        if (Objects.equals(seatVmId, self.vmId())) {
            tables.add(own);
        }
        inherited.forEach(
                (owner, table) -> {
                    if (owner.seatVmId().equals(seatVmId)) {
                        tables.add(table);
                    }
                });
        return tables;
    }

    private static boolean isHeld(VoteReply reply) {
        return reply.result() == VoteResult.HELD;
    }
}
