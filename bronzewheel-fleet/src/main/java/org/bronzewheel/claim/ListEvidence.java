package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzewheel.claim.ClaimMessage.ListOffer;
import org.bronzewheel.claim.ClaimMessage.ListQuery;
import org.bronzewheel.claim.ClaimMessage.Ping;
import org.bronzewheel.claim.ClaimMessage.Pong;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.transport.Peer;

/**
 * Determines on one router which VM lists may be in use for a key, from what its peers report.
 *
 * <p>A claim requests votes from the voters of an interval of lists. The upper end is the newest
 * list, with evidence that a majority of its routers did not use a newer one when the key was
 * created. The lower end is a list such that, for each older one, so many routers had stopped using
 * it before the key was created that no claim can obtain that evidence for the older one. Hence the
 * intervals of any two claims of the same key have a list in common.
 */
final class ListEvidence {
    private static final int MAX_REPORTED_LISTS = 8;
    private static final int PINGS_PER_EVIDENCE = 4;
    private static final long NONCE_FACTOR = 0x9E3779B97F4A7C15L;

    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final Peer self;
    private final long startedNanos;
    private final TreeMap<Long, VoterList> lists;
    private final TreeMap<Long, Long> usedSinceNanos;
    private final Map<String, Evidence> evidence;
    private final Map<Long, SentPing> pings;
    private final Map<Long, Long> queriedNanos;
    private long forgottenRevision;
    private long lastNonce;
    private long lastPingNanos;
    private boolean pinged;

    ListEvidence(ClaimSettings settings, ClaimRules rules, Peer self, long startedNanos) {
        this.settings = settings;
        this.rules = rules;
        this.self = self;
        this.startedNanos = startedNanos;
        this.lists = new TreeMap<>();
        this.usedSinceNanos = new TreeMap<>();
        this.evidence = new HashMap<>();
        this.pings = new HashMap<>();
        this.queriedNanos = new HashMap<>();
        this.lastNonce = self.incarnation() * NONCE_FACTOR;
    }

    private ListEvidence(ListEvidence other) {
        this.settings = other.settings;
        this.rules = other.rules;
        this.self = other.self;
        this.startedNanos = other.startedNanos;
        this.lists = new TreeMap<>(other.lists);
        this.usedSinceNanos = new TreeMap<>(other.usedSinceNanos);
        this.evidence = new HashMap<>(other.evidence);
        this.pings = new HashMap<>(other.pings);
        this.queriedNanos = new HashMap<>(other.queriedNanos);
        this.forgottenRevision = other.forgottenRevision;
        this.lastNonce = other.lastNonce;
        this.lastPingNanos = other.lastPingNanos;
        this.pinged = other.pinged;
    }

    ListEvidence copy() {
        return new ListEvidence(this);
    }

    /** Starts using a list if it is the newest, and otherwise keeps it for claims of older keys. */
    void add(VoterList list, long nowNanos) {
        if (list.revision() <= forgottenRevision || lists.containsKey(list.revision())) {
            return;
        }
        if (list.revision() > newestRevision()) {
            usedSinceNanos.put(list.revision(), nowNanos);
        }
        lists.put(list.revision(), list);
        queriedNanos.remove(list.revision());
    }

    /** Returns pings to all known routers if the ping interval has elapsed. */
    List<Outgoing<ClaimMessage>> pingIfDue(long nowNanos) {
        boolean due = !pinged || nowNanos - lastPingNanos >= evidenceNanos() / PINGS_PER_EVIDENCE;
        if (!due || lists.isEmpty()) {
            return List.of();
        }
        pinged = true;
        lastPingNanos = nowNanos;
        prune(nowNanos);
        List<Outgoing<ClaimMessage>> messages = new ArrayList<>();
        for (String vmId : new TreeSet<>(voterIds())) {
            if (!vmId.equals(self.vmId())) {
                messages.add(new Outgoing<>(vmId, ping(vmId, nowNanos)));
            }
        }
        return messages;
    }

    /** Returns a pong that reports which lists this router uses. */
    Pong answer(Ping ping, Collection<String> inheritedSeats, boolean frozen, long nowNanos) {
        List<ListAge> ages = new ArrayList<>();
        usedSinceNanos.forEach(
                (revision, since) -> ages.add(new ListAge(revision, nowNanos - since)));
        return new Pong(
                ping.nonce(),
                nowNanos - startedNanos,
                ages,
                List.copyOf(lists.keySet()),
                List.copyOf(inheritedSeats),
                frozen);
    }

    /** Records a pong as evidence; returns queries for lists that this router lacks. */
    List<Outgoing<ClaimMessage>> handlePong(Peer from, Pong pong, long nowNanos) {
        SentPing ping = pings.remove(pong.nonce());
        if (ping == null || !ping.vmId().equals(from.vmId())) {
            return List.of();
        }
        List<ListUseStart> reported =
                pong.lists().stream()
                        .map(age -> new ListUseStart(age.revision(), nowNanos - age.ageNanos()))
                        .toList();
        Evidence latest =
                new Evidence(
                        from.incarnation(),
                        ping.pingSentNanos(),
                        nowNanos - pong.upNanos(),
                        reported,
                        pong.knownRevisions(),
                        pong.inheritedSeats(),
                        pong.frozen());
        evidence.merge(
                from.vmId(),
                latest,
                (old, fresh) -> fresh.pingSentNanos() - old.pingSentNanos() >= 0 ? fresh : old);
        return missingLists(from, latest, nowNanos);
    }

    Optional<ListOffer> answer(ListQuery query) {
        return Optional.ofNullable(lists.get(query.revision())).map(ListOffer::new);
    }

    /** Returns the routers that may vote for a seat: its own VM and its heirs. */
    List<String> routersFor(String seatVmId) {
        List<String> vmIds = new ArrayList<>();
        vmIds.add(seatVmId);
        for (String vmId : new TreeSet<>(evidence.keySet())) {
            if (evidence.get(vmId).inheritedSeats().contains(seatVmId)) {
                vmIds.add(vmId);
            }
        }
        return vmIds;
    }

    /**
     * Returns the router that inherits the seats of this one, preferably in another failure domain.
     */
    Optional<Peer> selectHeir(long nowNanos) {
        if (lists.isEmpty()) {
            return Optional.empty();
        }
        List<Voter> voters = lists.lastEntry().getValue().voters();
        Set<String> ownDomain = new HashSet<>();
        voters.stream()
                .filter(voter -> voter.vmId().equals(self.vmId()))
                .forEach(voter -> ownDomain.add(voter.failureDomain()));
        return voters.stream()
                .filter(voter -> canInherit(voter, nowNanos))
                .min(
                        Comparator.comparing(
                                        (Voter voter) -> ownDomain.contains(voter.failureDomain()))
                                .thenComparingLong(
                                        voter -> RendezvousHash.score(self.vmId(), voter.vmId())))
                .map(voter -> new Peer(voter.vmId(), evidence.get(voter.vmId()).incarnation()));
    }

    /**
     * Returns the voter groups in each of which a claim needs a majority, or empty if the current
     * evidence is insufficient.
     */
    Optional<List<List<String>>> groups(IdempotencyKey key, FirstUseBounds time, long nowNanos) {
        if (lists.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Evidence> usable = usableEvidence(time, nowNanos);
        VoterList newest = lists.lastEntry().getValue();
        if (rules.evidenceOfOldLists() && !isNotSuperseded(newest, usable)) {
            return Optional.empty();
        }
        return oldestRequiredRevision(time, usable)
                .filter(this::isContiguous)
                .map(revision -> groupsSince(key, revision));
    }

    /** Returns the newest list, or empty if there is none yet. */
    Optional<VoterList> newest() {
        return Optional.ofNullable(lists.lastEntry()).map(Map.Entry::getValue);
    }

    @Override
    public String toString() {
        return lists.keySet()
                + " "
                + usedSinceNanos
                + new TreeMap<>(evidence)
                + new TreeMap<>(pings)
                + lastPingNanos;
    }

    /**
     * Drops lists superseded for longer than retention and warm-up; routers that only they contain
     * are assumed to be down.
     */
    private void prune(long nowNanos) {
        long keepNanos =
                (settings.retentionMillis() + settings.warmUpMillis())
                        * KeyClockReading.NANOS_PER_MILLI;
        while (lists.size() > 1) {
            Long successorSince = usedSinceNanos.get(lists.higherKey(lists.firstKey()));
            if (successorSince == null) {
                successorSince = usedSinceNanos.get(usedSinceNanos.firstKey());
            }
            if (nowNanos - successorSince <= keepNanos) {
                break;
            }
            forgottenRevision = lists.pollFirstEntry().getKey();
        }
        while (usedSinceNanos.size() > MAX_REPORTED_LISTS) {
            usedSinceNanos.pollFirstEntry();
        }
        pings.values().removeIf(ping -> nowNanos - ping.pingSentNanos() > evidenceNanos());
        Set<String> known = voterIds();
        evidence.keySet().retainAll(known);
    }

    private boolean canInherit(Voter voter, long nowNanos) {
        Evidence reported = evidence.get(voter.vmId());
        return reported != null
                && !reported.frozen()
                && !voter.vmId().equals(self.vmId())
                && nowNanos - reported.pingSentNanos() <= evidenceNanos();
    }

    private Map<String, Evidence> usableEvidence(FirstUseBounds time, long nowNanos) {
        Map<String, Evidence> usable = new HashMap<>();
        long pingedAfter = time.latestNanos() - evidenceNanos();
        long startedBefore = settledBefore(time);
        Map<String, Evidence> all = new HashMap<>(evidence);
        all.put(self.vmId(), ownEvidence(nowNanos));
        all.forEach(
                (vmId, reported) -> {
                    boolean fresh = reported.pingSentNanos() - pingedAfter >= 0;
                    boolean remembers = reported.startedNanos() - startedBefore < 0;
                    if (fresh && (remembers || !rules.restartedEvidenceIsVoid())) {
                        usable.put(vmId, reported);
                    }
                });
        return usable;
    }

    private Evidence ownEvidence(long nowNanos) {
        List<ListUseStart> used = new ArrayList<>();
        usedSinceNanos.forEach((revision, since) -> used.add(new ListUseStart(revision, since)));
        return new Evidence(
                self.incarnation(),
                nowNanos,
                startedNanos,
                used,
                List.copyOf(lists.keySet()),
                List.of(),
                false);
    }

    private static boolean isNotSuperseded(VoterList newest, Map<String, Evidence> usable) {
        long notNewer =
                newest.voters().stream()
                        .map(voter -> usable.get(voter.vmId()))
                        .filter(
                                reported ->
                                        reported != null
                                                && reported.revision() <= newest.revision())
                        .count();
        return notNewer >= newest.majority();
    }

    /** Returns the newest settled list, the one that every claim of the key must include. */
    private Optional<Long> oldestRequiredRevision(
            FirstUseBounds time, Map<String, Evidence> usable) {
        if (!rules.listsSettle()) {
            return Optional.of(lists.lastKey());
        }
        long before = settledBefore(time);
        for (VoterList list : lists.descendingMap().values()) {
            if (isSettled(list, usable, before)) {
                return Optional.of(list.revision());
            }
        }
        return Optional.empty();
    }

    private boolean isSettled(VoterList list, Map<String, Evidence> usable, long before) {
        if (countRoutersUsing(list, list.revision(), usable, before) < list.majority()) {
            return false;
        }
        if (rules.peersListsAreKnown() && !knowsPeerLists(usable, list.revision())) {
            return false;
        }
        return lists.headMap(list.revision()).values().stream()
                .allMatch(older -> isRetired(older, usable, before));
    }

    /** Returns whether this router has every older list that a peer still considers. */
    private boolean knowsPeerLists(Map<String, Evidence> usable, long revision) {
        return usable.values().stream()
                .flatMap(reported -> reported.knownRevisions().stream())
                .filter(known -> known > forgottenRevision && known < revision)
                .allMatch(lists::containsKey);
    }

    /**
     * Returns whether so many routers have stopped using a list that the others are no majority.
     */
    private static boolean isRetired(VoterList list, Map<String, Evidence> usable, long before) {
        long left = countRoutersUsing(list, list.revision() + 1, usable, before);
        return list.voters().size() - left < list.majority();
    }

    private static long countRoutersUsing(
            VoterList list, long revision, Map<String, Evidence> usable, long before) {
        return list.voters().stream()
                .map(voter -> usable.get(voter.vmId()))
                .filter(reported -> reported != null && reported.usedSinceBefore(revision, before))
                .count();
    }

    private boolean isContiguous(long firstRevision) {
        return lists.tailMap(firstRevision).size() == lists.lastKey() - firstRevision + 1;
    }

    private List<List<String>> groupsSince(IdempotencyKey key, long firstRevision) {
        long first = rules.allListsVote() ? firstRevision : lists.lastKey();
        return lists.tailMap(first).values().stream()
                .map(list -> VoterGroupSelector.select(key, list))
                .distinct()
                .toList();
    }

    /** Returns queries for the lists that a peer knows and this router lacks. */
    private List<Outgoing<ClaimMessage>> missingLists(Peer from, Evidence reported, long nowNanos) {
        List<Outgoing<ClaimMessage>> messages = new ArrayList<>();
        for (long revision : reported.knownRevisions()) {
            if (shouldQuery(revision, nowNanos)) {
                queriedNanos.put(revision, nowNanos);
                messages.add(new Outgoing<>(from.vmId(), new ListQuery(revision)));
            }
        }
        return messages;
    }

    private boolean shouldQuery(long revision, long nowNanos) {
        if (revision <= forgottenRevision || lists.containsKey(revision)) {
            return false;
        }
        Long last = queriedNanos.get(revision);
        return last == null
                || nowNanos - last >= settings.resendMillis() * KeyClockReading.NANOS_PER_MILLI;
    }

    private Ping ping(String vmId, long nowNanos) {
        lastNonce++;
        pings.put(lastNonce, new SentPing(vmId, nowNanos));
        return new Ping(lastNonce);
    }

    private Set<String> voterIds() {
        Set<String> ids = new HashSet<>();
        for (VoterList list : lists.values()) {
            list.voters().forEach(voter -> ids.add(voter.vmId()));
        }
        return ids;
    }

    private long newestRevision() {
        return lists.isEmpty() ? 0 : lists.lastKey();
    }

    private long settledBefore(FirstUseBounds time) {
        return time.earliestNanos() - settings.warmUpMillis() * KeyClockReading.NANOS_PER_MILLI;
    }

    private long evidenceNanos() {
        return settings.evidenceMillis() * KeyClockReading.NANOS_PER_MILLI;
    }

    private record SentPing(String vmId, long pingSentNanos) {}
}
