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
 * The knowledge of one router about which VM lists may be in use for a key.
 *
 * <p>A claim asks the voters of an interval of lists. Its upper end is the newest list, with
 * evidence that a majority of that list's routers were not on a newer one when the key was made.
 * Its lower end is a list such that, for each older one, so many routers had left it before the key
 * was made that no claim can have that evidence for the older one. Hence the intervals of any two
 * claims of one key share a list.
 */
final class ListEvidence {
    private static final int MAX_TOLD_LISTS = 8;
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

    /** Takes a list into use where it is the newest, else keeps it for the claims of older keys. */
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

    /** Asks all known routers where it is time to. */
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

    /** Tells a peer which lists this router uses. */
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

    /** Takes the reply to a question; returns questions for lists that this router lacks. */
    List<Outgoing<ClaimMessage>> take(Peer from, Pong pong, long nowNanos) {
        SentPing ping = pings.remove(pong.nonce());
        if (ping == null || !ping.vmId().equals(from.vmId())) {
            return List.of();
        }
        List<ListUseStart> told =
                pong.lists().stream()
                        .map(age -> new ListUseStart(age.revision(), nowNanos - age.ageNanos()))
                        .toList();
        Evidence news =
                new Evidence(
                        from.incarnation(),
                        ping.askedNanos(),
                        nowNanos - pong.upNanos(),
                        told,
                        pong.knownRevisions(),
                        pong.inheritedSeats(),
                        pong.frozen());
        evidence.merge(
                from.vmId(),
                news,
                (old, fresh) -> fresh.askedNanos() - old.askedNanos() >= 0 ? fresh : old);
        return missingLists(from, news, nowNanos);
    }

    Optional<ListOffer> answer(ListQuery query) {
        return Optional.ofNullable(lists.get(query.revision())).map(ListOffer::new);
    }

    /** Returns the routers that may answer for a seat: its own VM and its heirs. */
    List<String> placesOf(String seatVmId) {
        List<String> places = new ArrayList<>();
        places.add(seatVmId);
        for (String vmId : new TreeSet<>(evidence.keySet())) {
            if (evidence.get(vmId).inheritedSeats().contains(seatVmId)) {
                places.add(vmId);
            }
        }
        return places;
    }

    /** Returns the router that takes the seats of this one over, in another failure domain. */
    Optional<Peer> heir(long nowNanos) {
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
     * Returns the voter groups whose majorities a claim needs, or empty where the evidence does not
     * suffice now.
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
        return oldestInUse(time, usable)
                .filter(this::isWithoutGap)
                .map(revision -> groupsSince(key, revision));
    }

    /** Returns the newest list, or empty before the first. */
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

    /** Drops lists whose routers are taken to be down unless newer lists name them. */
    private void prune(long nowNanos) {
        long keepNanos =
                (settings.retentionMillis() + settings.warmUpMillis())
                        * ClockReading.NANOS_PER_MILLI;
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
        while (usedSinceNanos.size() > MAX_TOLD_LISTS) {
            usedSinceNanos.pollFirstEntry();
        }
        pings.values().removeIf(ping -> nowNanos - ping.askedNanos() > evidenceNanos());
        Set<String> known = voterIds();
        evidence.keySet().retainAll(known);
    }

    private boolean canInherit(Voter voter, long nowNanos) {
        Evidence told = evidence.get(voter.vmId());
        return told != null
                && !told.frozen()
                && !voter.vmId().equals(self.vmId())
                && nowNanos - told.askedNanos() <= evidenceNanos();
    }

    private Map<String, Evidence> usableEvidence(FirstUseBounds time, long nowNanos) {
        Map<String, Evidence> usable = new HashMap<>();
        long askedAfter = time.latestNanos() - evidenceNanos();
        long startedBefore = settledBefore(time);
        Map<String, Evidence> all = new HashMap<>(evidence);
        all.put(self.vmId(), ownEvidence(nowNanos));
        all.forEach(
                (vmId, told) -> {
                    boolean fresh = told.askedNanos() - askedAfter >= 0;
                    boolean remembers = told.startedNanos() - startedBefore < 0;
                    if (fresh && (remembers || !rules.restartedEvidenceIsVoid())) {
                        usable.put(vmId, told);
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
                        .filter(told -> told != null && told.revision() <= newest.revision())
                        .count();
        return notNewer >= newest.majority();
    }

    /** Returns the newest list that is settled: no claim of the key can do without it. */
    private Optional<Long> oldestInUse(FirstUseBounds time, Map<String, Evidence> usable) {
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
        if (countUsers(list, list.revision(), usable, before) < list.majority()) {
            return false;
        }
        if (rules.peersListsAreKnown() && !knowsListsOf(usable, list.revision())) {
            return false;
        }
        return lists.headMap(list.revision()).values().stream()
                .allMatch(older -> isClosed(older, usable, before));
    }

    /** Tells whether this router has each older list that a peer still reckons with. */
    private boolean knowsListsOf(Map<String, Evidence> usable, long revision) {
        return usable.values().stream()
                .flatMap(told -> told.knownRevisions().stream())
                .filter(known -> known > forgottenRevision && known < revision)
                .allMatch(lists::containsKey);
    }

    /** Tells whether too many routers have left a list for the others to be a majority. */
    private static boolean isClosed(VoterList list, Map<String, Evidence> usable, long before) {
        long left = countUsers(list, list.revision() + 1, usable, before);
        return list.voters().size() - left < list.majority();
    }

    private static long countUsers(
            VoterList list, long revision, Map<String, Evidence> usable, long before) {
        return list.voters().stream()
                .map(voter -> usable.get(voter.vmId()))
                .filter(told -> told != null && told.usedSinceBefore(revision, before))
                .count();
    }

    private boolean isWithoutGap(long firstRevision) {
        return lists.tailMap(firstRevision).size() == lists.lastKey() - firstRevision + 1;
    }

    private List<List<String>> groupsSince(IdempotencyKey key, long firstRevision) {
        long first = rules.allListsVote() ? firstRevision : lists.lastKey();
        return lists.tailMap(first).values().stream()
                .map(list -> VoterGroupSelector.choose(key, list))
                .distinct()
                .toList();
    }

    /** Returns questions for the lists that a peer uses and this router lacks. */
    private List<Outgoing<ClaimMessage>> missingLists(Peer from, Evidence told, long nowNanos) {
        List<Outgoing<ClaimMessage>> messages = new ArrayList<>();
        for (long revision : told.knownRevisions()) {
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
                || nowNanos - last >= settings.resendMillis() * ClockReading.NANOS_PER_MILLI;
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
        return time.earliestNanos() - settings.warmUpMillis() * ClockReading.NANOS_PER_MILLI;
    }

    private long evidenceNanos() {
        return settings.evidenceMillis() * ClockReading.NANOS_PER_MILLI;
    }

    private record SentPing(String vmId, long askedNanos) {}
}
