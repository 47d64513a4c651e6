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
 * The routers that are heard, found through a few seeds.
 *
 * <p>In a small fleet each router sends its sign of life to all. In a larger one each sends it to a
 * few, chosen anew each time, and passes on the signs that are news to it; the pause between two
 * signs of a router grows with the fleet, so that what a router sends stays the same. Nothing about
 * safety follows from it: two routers that own the same thing for a while cost work, not
 * correctness.
 */
public final class SeedMembership {
    /** Routers up to which each sends to all. */
    private static final int DIRECT_ROUTERS = 12;

    /** Routers to which a sign is sent in a larger fleet; with 5 a sign misses 7 in 1,000. */
    private static final int FANOUT = 5;

    /** Signs that a message of a larger fleet holds on average. */
    private static final int SIGNS_PER_MESSAGE = 40;

    /** Messages of which one goes to a router that seems lost, too. */
    private static final int TICKS_PER_LOST = 8;

    /** The pause between two messages of a router, and in a small fleet between two signs. */
    static final long BEAT_MILLIS = 350;

    private static final long SILENCE_MILLIS = 1_300;

    /** The part of the largest capacity that an owner has at least. */
    private static final double OWNER_PART = 0.5;

    /** Signs of a router that may be missed in a larger fleet, and the time that one travels. */
    private static final int MISSED_SIGNS = 4;

    private static final long TRAVEL_MILLIS = 2_500;
    private static final long FORGET_MILLIS = 15_000;
    private static final long LOST_MILLIS = 600_000;
    private static final long COUNT_WINDOW_MILLIS = 60_000;

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
    private int present;
    private boolean isLarge;
    private int largestCount = 1;
    private long largestCountMillis;

    /**
     * Creates a membership of this router alone.
     *
     * @param self the VM of this router
     * @param incarnation distinct for each start
     * @param seeds the VMs that are asked first; they may be down
     * @param assumedRouters the number of routers to assume before others had time to answer
     * @param random chooses who is sent to in a large fleet
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
    }

    /**
     * Replaces the seeds.
     *
     * @param newer the VMs that are asked first
     */
    public void setSeeds(Collection<String> newer) {
        seeds = new LinkedHashSet<>(newer);
    }

    /**
     * Sets what this router can do for others.
     *
     * @param own its capacity, as {@link RouterCapacity} measures it
     */
    public void setCapacity(int own) {
        capacity = own;
    }

    /** Books that this router stops: it owns nothing any more. */
    public void leave() {
        leaving = true;
        beat++;
    }

    /**
     * Tells whether this router stops.
     *
     * @return whether it owns nothing any more
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns what this router tells now: its own sign of life, and in a large fleet what it heard
     * since the last time.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the message, without what others add to it
     */
    public HeartbeatMessage hello(long nowMillis) {
        forget(nowMillis);
        if (!isLarge || nowMillis - beatMillis >= beatPeriodMillis()) {
            beat++;
            beatMillis = nowMillis;
        }
        List<Heartbeat> others = new ArrayList<>();
        known.forEach(
                (vmId, peer) -> {
                    if (!isLarge
                            && peer.wasHeard()
                            && peer.silentMillis(nowMillis) < FORGET_MILLIS) {
                        others.add(peer.name(vmId));
                    } else if (isLarge && peer.isNews()) {
                        others.add(peer.sign(vmId));
                    }
                    peer.told();
                });
        return new HeartbeatMessage(
                new Heartbeat(self, incarnation, beat, leaving, capacity), List.copyOf(others));
    }

    /**
     * Takes what another router tells.
     *
     * @param hello the message
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void receive(HeartbeatMessage hello, long nowMillis) {
        hear(hello.sender(), nowMillis);
        hello.others().forEach(sign -> hear(sign, nowMillis));
        int count = live(nowMillis).size();
        if (count >= largestCount || nowMillis - largestCountMillis > COUNT_WINDOW_MILLIS) {
            largestCount = count;
            largestCountMillis = nowMillis;
        }
    }

    private void hear(Heartbeat sign, long nowMillis) {
        if (sign.vmId().equals(self)) {
            return;
        }
        PeerState peer = known.get(sign.vmId());
        if (peer == null) {
            peer = new PeerState(nowMillis);
            known.put(sign.vmId(), peer);
            count(nowMillis);
        }
        if (sign.beat() > 0) {
            peer.hear(sign, nowMillis, silenceMillis());
        }
    }

    /** Drops routers that were only named and never heard, and after a long time the lost ones. */
    private void forget(long nowMillis) {
        known.values()
                .removeIf(
                        peer ->
                                peer.silentMillis(nowMillis)
                                        > (peer.wasHeard() ? LOST_MILLIS : FORGET_MILLIS));
        count(nowMillis);
    }

    private void count(long nowMillis) {
        long forgetMillis = forgetMillis();
        present = idsOf(peer -> peer.silentMillis(nowMillis) < forgetMillis).size();
        isLarge = present >= DIRECT_ROUTERS;
    }

    /**
     * Returns the routers to send the own message to: in a small fleet the seeds and all routers
     * that may live, in a large one a few of them; besides, one that seems lost, so that the parts
     * of a fleet that was cut find each other again.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, without this router
     */
    public Set<String> targets(long nowMillis) {
        Set<String> targets = new LinkedHashSet<>();
        long forgetMillis = forgetMillis();
        List<String> lost = idsOf(peer -> peer.silentMillis(nowMillis) >= forgetMillis);
        if (isLarge) {
            List<String> live = live(nowMillis);
            seeds.stream().filter(seed -> !live.contains(seed)).forEach(lost::add);
            live.remove(self);
            for (int i = 0; i < FANOUT && !live.isEmpty(); i++) {
                targets.add(live.remove(random.nextInt(live.size())));
            }
        } else {
            targets.addAll(seeds);
            targets.addAll(idsOf(peer -> peer.silentMillis(nowMillis) < FORGET_MILLIS));
        }
        if (!lost.isEmpty() && random.nextInt(TICKS_PER_LOST) == 0) {
            targets.add(lost.get(random.nextInt(lost.size())));
        }
        targets.remove(self);
        return targets;
    }

    private List<String> idsOf(Predicate<PeerState> condition) {
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
     * Returns the routers that were heard lately.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, this router included, leaving ones too
     */
    public List<String> live(long nowMillis) {
        long silenceMillis = silenceMillis();
        List<String> live = idsOf(peer -> peer.isLive(nowMillis, silenceMillis));
        live.add(0, self);
        return live;
    }

    /**
     * Books that a router did not answer: it owns nothing until it is heard again.
     *
     * @param vmId the VM of the router
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void suspect(String vmId, long nowMillis) {
        PeerState peer = known.get(vmId);
        if (peer != null) {
            peer.suspect(nowMillis);
        }
    }

    /**
     * Returns the router that owns something: one of those with at least half of the largest
     * capacity, as what others ask of an owner does not shrink with its VM.
     *
     * @param thing what is owned
     * @param excluded routers that were found not to answer
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the VM of the owner; this router where no other is known
     */
    public String ownerOf(String thing, Set<String> excluded, long nowMillis) {
        long silenceMillis = silenceMillis();
        int largest = leaving ? 0 : capacity;
        for (Map.Entry<String, PeerState> entry : known.entrySet()) {
            PeerState peer = entry.getValue();
            if (isAble(peer, nowMillis, silenceMillis) && !excluded.contains(entry.getKey())) {
                largest = Math.max(largest, peer.capacity());
            }
        }
        double least = OWNER_PART * largest;
        String owner = self;
        boolean found = !leaving && capacity >= least;
        long best = found ? RendezvousHash.score(thing, self) : 0;
        for (Map.Entry<String, PeerState> entry : known.entrySet()) {
            PeerState peer = entry.getValue();
            if (peer.capacity() < least
                    || !isAble(peer, nowMillis, silenceMillis)
                    || excluded.contains(entry.getKey())) {
                continue;
            }
            long score = RendezvousHash.score(thing, entry.getKey());
            if (!found || Long.compareUnsigned(score, best) > 0) {
                found = true;
                best = score;
                owner = entry.getKey();
            }
        }
        return owner;
    }

    /**
     * Returns the number of routers that may own something.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number of those heard lately that neither leave nor failed to answer, with this
     *     router
     */
    public int able(long nowMillis) {
        long silenceMillis = silenceMillis();
        return 1 + idsOf(peer -> isAble(peer, nowMillis, silenceMillis)).size();
    }

    private static boolean isAble(PeerState peer, long nowMillis, long silenceMillis) {
        return peer.isLive(nowMillis, silenceMillis) && !peer.isSuspected() && !peer.isLeaving();
    }

    /**
     * Returns the number of routers among which shared limits are split.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the largest number known lately; a cautious one just after the start
     */
    public int routers(long nowMillis) {
        boolean young = nowMillis - startedMillis < SILENCE_MILLIS * 3;
        return Math.max(young ? assumedRouters : 1, largestCount);
    }

    private long beatPeriodMillis() {
        return isLarge
                ? Math.max(BEAT_MILLIS, BEAT_MILLIS * present / SIGNS_PER_MESSAGE)
                : BEAT_MILLIS;
    }

    private long silenceMillis() {
        return isLarge ? MISSED_SIGNS * beatPeriodMillis() + TRAVEL_MILLIS : SILENCE_MILLIS;
    }

    private long forgetMillis() {
        return Math.max(FORGET_MILLIS, 2 * silenceMillis());
    }
}
