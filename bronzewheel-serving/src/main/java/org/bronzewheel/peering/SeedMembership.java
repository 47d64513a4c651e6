package org.bronzewheel.peering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.bronzewheel.membership.RendezvousHash;

/**
 * Heartbeat-based membership of the routers, discovered through a few seeds.
 *
 * <p>In a small fleet each router sends its heartbeats to all others. In a larger one they are
 * spread by gossip: each router sends to a few randomly chosen ones and forwards the heartbeats
 * that are new to it. The interval between heartbeats grows with the size of the fleet, so that the
 * traffic per router stays constant. Safety does not depend on membership: if two routers
 * temporarily own the same key, the cost is duplicate work, not incorrect results.
 *
 * <p>Silence is measured without the stalls of this router, during which heartbeats wait unread in
 * its sockets: between two calls at most the interval between messages is counted.
 */
public final class SeedMembership {
    /** The number of routers from which gossip is used. */
    private static final int MIN_GOSSIP_ROUTERS = 12;

    /** The number of gossip targets; with 5, a heartbeat misses 7 of 1,000 routers. */
    private static final int FANOUT = 5;

    /** The average number of heartbeats in a gossip message. */
    private static final int HEARTBEATS_PER_MESSAGE = 40;

    /** On average, one in this many messages is also sent to a router that seems lost. */
    private static final int TICKS_PER_LOST_TARGET = 8;

    /** The interval between messages of a router, and in a small fleet between its heartbeats. */
    static final long BEAT_MILLIS = 350;

    private static final long SILENCE_MILLIS = 1_300;

    /** The minimum capacity of an owner, as a fraction of the largest capacity. */
    private static final double MIN_OWNER_CAPACITY_FRACTION = 0.5;

    /** The number of consecutive heartbeats that may be missed with gossip. */
    private static final int MISSED_HEARTBEATS = 4;

    /** The time that a heartbeat takes to reach all routers by gossip, in milliseconds. */
    private static final long PROPAGATION_MILLIS = 2_500;

    private static final long FORGET_MILLIS = 15_000;
    private static final long LOST_MILLIS = 600_000;
    private static final long COUNT_WINDOW_MILLIS = 60_000;

    /**
     * The time after a start for which the assumed number of routers counts as existing. It equals
     * the time for which a router that was heard does, so that a cut is survived equally long with
     * and without a restart.
     */
    private static final long ASSUMED_MILLIS = LOST_MILLIS;

    private final String self;
    private final long incarnation;
    private final long startedMillis;
    private final int assumedRouters;
    private final SplittableRandom random;
    private final Map<String, PeerState> known = new TreeMap<>();
    private Set<String> seeds;
    private int capacity = RouterCapacity.DEFAULT;
    private boolean leaving;
    private long beat = 1;
    private long beatMillis;
    private int presentRouters;
    private boolean usesGossip;
    private int largestCount = 1;
    private boolean heardAssumed;
    private long largestCountMillis;
    private long calledAtMillis;
    private long elapsedMillis;

    /**
     * Creates a membership that contains only this router.
     *
     * @param self the VM of this router
     * @param incarnation distinct for each start of the process
     * @param seeds the VMs that are contacted first; they may be down
     * @param assumedRouters the number of routers to assume until others have had time to answer
     * @param random selects gossip targets
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public SeedMembership(
            String self,
            long incarnation,
            Collection<String> seeds,
            int assumedRouters,
            SplittableRandom random,
            long nowMillis) {
        this.self = self;
        this.incarnation = incarnation;
        this.seeds = new LinkedHashSet<>(seeds);
        this.assumedRouters = assumedRouters;
        this.random = random;
        this.startedMillis = nowMillis;
        this.beatMillis = nowMillis;
        this.calledAtMillis = nowMillis;
    }

    /** Returns the time without stalls of this router, in milliseconds. */
    private long receiveMillis(long nowMillis) {
        elapsedMillis += Math.min(nowMillis - calledAtMillis, BEAT_MILLIS);
        calledAtMillis = nowMillis;
        return elapsedMillis;
    }

    /**
     * Replaces the seeds.
     *
     * @param newer the VMs that are contacted first
     */
    public void setSeeds(Collection<String> newer) {
        seeds = new LinkedHashSet<>(newer);
    }

    /**
     * Sets the capacity of this router.
     *
     * @param own its capacity in units of {@link RouterCapacity}
     */
    public void setCapacity(int own) {
        capacity = own;
    }

    /** Records that this router is shutting down and owns nothing any more. */
    public void leave() {
        leaving = true;
        beat++;
    }

    /**
     * Returns whether this router is shutting down.
     *
     * @return whether it owns nothing any more
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the next message of this router: its own heartbeat and, with gossip, the heartbeats
     * received since the last message; without gossip, a list of the routers it heard recently.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the heartbeats of the message
     */
    public HeartbeatMessage nextMessage(long nowMillis) {
        long receiveMillis = receiveMillis(nowMillis);
        forget(receiveMillis);
        if (!usesGossip || nowMillis - beatMillis >= beatPeriodMillis()) {
            beat++;
            beatMillis = nowMillis;
        }
        List<Heartbeat> others = new ArrayList<>();
        known.forEach(
                (vmId, peer) -> {
                    if (!usesGossip
                            && peer.wasHeard()
                            && peer.silentMillis(receiveMillis) < FORGET_MILLIS) {
                        others.add(peer.presenceOnly(vmId));
                    } else if (usesGossip && peer.needsForwarding()) {
                        others.add(peer.heartbeat(vmId));
                    }
                    peer.markForwarded();
                });
        return new HeartbeatMessage(
                new Heartbeat(self, incarnation, beat, leaving, capacity), List.copyOf(others));
    }

    /**
     * Applies a message of another router.
     *
     * @param heartbeats the message
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void receive(HeartbeatMessage heartbeats, long nowMillis) {
        long receiveMillis = receiveMillis(nowMillis);
        hear(heartbeats.sender(), receiveMillis);
        heartbeats.others().forEach(heartbeat -> hear(heartbeat, receiveMillis));
        heardAssumed = heardAssumed || heardRouters() >= assumedRouters;
        int count = live(nowMillis).size();
        if (count >= largestCount || nowMillis - largestCountMillis > COUNT_WINDOW_MILLIS) {
            largestCount = count;
            largestCountMillis = nowMillis;
        }
    }

    private void hear(Heartbeat heartbeat, long receiveMillis) {
        if (heartbeat.vmId().equals(self)) {
            return;
        }
        PeerState peer = known.get(heartbeat.vmId());
        if (peer == null) {
            peer = new PeerState(receiveMillis);
            known.put(heartbeat.vmId(), peer);
            count(receiveMillis);
        }
        if (heartbeat.beat() > 0) {
            peer.hear(heartbeat, receiveMillis, silenceMillis());
        }
    }

    /** Removes routers that were listed but never heard, and those lost for a long time. */
    private void forget(long receiveMillis) {
        known.values()
                .removeIf(
                        peer ->
                                peer.silentMillis(receiveMillis)
                                        > (peer.wasHeard() ? LOST_MILLIS : FORGET_MILLIS));
        count(receiveMillis);
    }

    private void count(long receiveMillis) {
        long forgetMillis = forgetMillis();
        presentRouters =
                idsMatching(peer -> peer.silentMillis(receiveMillis) < forgetMillis).size();
        usesGossip = presentRouters >= MIN_GOSSIP_ROUTERS;
    }

    /**
     * Returns the routers to send the next message to: in a small fleet the seeds and all routers
     * that may be alive, with gossip a few random live ones. Now and then a router that seems lost
     * is added, so that the sides of a network partition find each other again.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, without this router
     */
    public Set<String> targets(long nowMillis) {
        Set<String> targets = new LinkedHashSet<>();
        long receiveMillis = receiveMillis(nowMillis);
        long forgetMillis = forgetMillis();
        List<String> lost = idsMatching(peer -> peer.silentMillis(receiveMillis) >= forgetMillis);
        if (usesGossip) {
            List<String> live = live(nowMillis);
            seeds.stream().filter(seed -> !live.contains(seed)).forEach(lost::add);
            live.remove(self);
            for (int i = 0; i < FANOUT && !live.isEmpty(); i++) {
                targets.add(live.remove(random.nextInt(live.size())));
            }
        } else {
            targets.addAll(seeds);
            targets.addAll(idsMatching(peer -> peer.silentMillis(receiveMillis) < FORGET_MILLIS));
        }
        if (!lost.isEmpty() && random.nextInt(TICKS_PER_LOST_TARGET) == 0) {
            targets.add(lost.get(random.nextInt(lost.size())));
        }
        targets.remove(self);
        return targets;
    }

    private List<String> idsMatching(Predicate<PeerState> condition) {
        List<String> ids = new ArrayList<>();
        known.forEach(
                (vmId, peer) -> {
                    if (condition.test(peer)) {
                        ids.add(vmId);
                    }
                });
        return ids;
    }

    /**
     * Returns the routers with a recent heartbeat.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, including this router and leaving ones
     */
    public List<String> live(long nowMillis) {
        long receiveMillis = receiveMillis(nowMillis);
        long silenceMillis = silenceMillis();
        List<String> live = idsMatching(peer -> peer.isLive(receiveMillis, silenceMillis));
        live.add(0, self);
        return live;
    }

    /**
     * Records that a router did not answer; it owns nothing until its next heartbeat.
     *
     * @param vmId the VM of the router
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void suspect(String vmId, long nowMillis) {
        PeerState peer = known.get(vmId);
        if (peer != null) {
            peer.suspect(receiveMillis(nowMillis));
        }
    }

    /**
     * Returns the owner of a key by rendezvous hashing among the routers with at least half of the
     * largest capacity, as the load on an owner does not depend on the size of its VM.
     *
     * @param key the key
     * @param excluded routers that did not answer
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the VM of the owner; this router if no other is eligible
     */
    public String ownerOf(String key, Set<String> excluded, long nowMillis) {
        long receiveMillis = receiveMillis(nowMillis);
        long silenceMillis = silenceMillis();
        int largest = leaving ? 0 : capacity;
        for (Map.Entry<String, PeerState> entry : known.entrySet()) {
            PeerState peer = entry.getValue();
            if (isEligibleOwner(peer, receiveMillis, silenceMillis)
                    && !excluded.contains(entry.getKey())) {
                largest = Math.max(largest, peer.capacity());
            }
        }
        double minCapacity = MIN_OWNER_CAPACITY_FRACTION * largest;
        String owner = self;
        boolean found = !leaving && capacity >= minCapacity;
        long best = found ? RendezvousHash.score(key, self) : 0;
        for (Map.Entry<String, PeerState> entry : known.entrySet()) {
            PeerState peer = entry.getValue();
            if (peer.capacity() < minCapacity
                    || !isEligibleOwner(peer, receiveMillis, silenceMillis)
                    || excluded.contains(entry.getKey())) {
                continue;
            }
            long score = RendezvousHash.score(key, entry.getKey());
            if (!found || Long.compareUnsigned(score, best) > 0) {
                found = true;
                best = score;
                owner = entry.getKey();
            }
        }
        return owner;
    }

    /**
     * Returns the number of routers that are eligible as owners.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number of live routers that are neither leaving nor suspected, including this
     *     router
     */
    public int eligibleOwners(long nowMillis) {
        long receiveMillis = receiveMillis(nowMillis);
        long silenceMillis = silenceMillis();
        return 1 + idsMatching(peer -> isEligibleOwner(peer, receiveMillis, silenceMillis)).size();
    }

    private static boolean isEligibleOwner(PeerState peer, long receiveMillis, long silenceMillis) {
        return peer.isLive(receiveMillis, silenceMillis)
                && !peer.isSuspected()
                && !peer.isLeaving();
    }

    /**
     * Returns the number of routers among which shared limits are split.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the largest number of live routers seen recently; shortly after the start at least
     *     the assumed number
     */
    public int routers(long nowMillis) {
        boolean isNew = nowMillis - startedMillis < SILENCE_MILLIS * 3;
        return Math.max(isNew ? assumedRouters : 1, largestCount);
    }

    /**
     * Returns the number of routers that may be running, whether this one reaches them or not.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number of routers, including this one, that were heard within ten minutes and
     *     have not left; for ten minutes after the start at least the assumed number, unless that
     *     many have been heard
     */
    public int existingRouters(long nowMillis) {
        boolean assumes = !heardAssumed && nowMillis - startedMillis < ASSUMED_MILLIS;
        return Math.max(assumes ? assumedRouters : 1, heardRouters());
    }

    private int heardRouters() {
        return 1 + idsMatching(peer -> peer.wasHeard() && !peer.isLeaving()).size();
    }

    private long beatPeriodMillis() {
        return usesGossip
                ? Math.max(BEAT_MILLIS, BEAT_MILLIS * presentRouters / HEARTBEATS_PER_MESSAGE)
                : BEAT_MILLIS;
    }

    private long silenceMillis() {
        return usesGossip
                ? MISSED_HEARTBEATS * beatPeriodMillis() + PROPAGATION_MILLIS
                : SILENCE_MILLIS;
    }

    private long forgetMillis() {
        return Math.max(FORGET_MILLIS, 2 * silenceMillis());
    }
}
