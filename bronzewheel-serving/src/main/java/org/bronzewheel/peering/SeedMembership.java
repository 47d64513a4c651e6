package org.bronzewheel.peering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzewheel.membership.RendezvousHash;

/**
 * The routers that this router hears, found through a few seeds.
 *
 * <p>Each router tells all routers it knows of, and names them to each other. Nothing about safety
 * follows from it: two routers that own the same thing for a while cost work, not correctness.
 */
public final class SeedMembership {
    private static final long LIVE_MILLIS = 1_300;
    private static final long FORGET_MILLIS = 15_000;
    private static final long COUNT_WINDOW_MILLIS = 60_000;

    private final String self;
    private final long incarnation;
    private final long startedMillis;
    private final int assumedRouters;
    private Set<String> seeds;
    private boolean leaving;
    private final Map<String, Heard> heard = new TreeMap<>();
    private int largestCount = 1;
    private long largestCountMillis;

    private record Heard(long incarnation, long atMillis, boolean leaving) {}

    /**
     * Creates a membership of this router alone.
     *
     * @param self the VM of this router
     * @param incarnation distinct for each start
     * @param seeds the VMs that are asked first; they may be down
     * @param assumedRouters the number of routers to assume before others had time to answer
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public SeedMembership(
            String self,
            long incarnation,
            Collection<String> seeds,
            int assumedRouters,
            long nowMillis) {
        this.self = self;
        this.incarnation = incarnation;
        this.seeds = new LinkedHashSet<>(seeds);
        this.assumedRouters = assumedRouters;
        this.startedMillis = nowMillis;
    }

    /**
     * Replaces the seeds.
     *
     * @param newer the VMs that are asked first
     */
    public void setSeeds(Collection<String> newer) {
        seeds = new LinkedHashSet<>(newer);
    }

    /** Books that this router stops: it owns nothing any more. */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns what this router says of itself.
     *
     * @return the message, without what others add to it
     */
    public Hello hello() {
        return new Hello(self, incarnation, leaving, List.copyOf(heard.keySet()));
    }

    /**
     * Takes what another router says of itself.
     *
     * @param hello the message
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void receive(Hello hello, long nowMillis) {
        if (hello.vmId().equals(self)) {
            return;
        }
        Heard before = heard.get(hello.vmId());
        if (before != null && before.incarnation() > hello.incarnation()) {
            return;
        }
        heard.put(hello.vmId(), new Heard(hello.incarnation(), nowMillis, hello.leaving()));
        for (String vmId : hello.knownVmIds()) {
            if (!vmId.equals(self)) {
                heard.putIfAbsent(vmId, new Heard(Long.MIN_VALUE, Long.MIN_VALUE / 2, false));
            }
        }
        int count = live(nowMillis).size();
        if (count >= largestCount || nowMillis - largestCountMillis > COUNT_WINDOW_MILLIS) {
            largestCount = count;
            largestCountMillis = nowMillis;
        }
    }

    /**
     * Returns the routers to send the own message to.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, without this router
     */
    public List<String> targets(long nowMillis) {
        heard.values()
                .removeIf(
                        h ->
                                h.atMillis() > Long.MIN_VALUE / 2
                                        && nowMillis - h.atMillis() > FORGET_MILLIS);
        Set<String> targets = new LinkedHashSet<>(seeds);
        targets.addAll(heard.keySet());
        targets.remove(self);
        return List.copyOf(targets);
    }

    /**
     * Returns the routers that were heard lately.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return their VMs, this router included, leaving ones too
     */
    public List<String> live(long nowMillis) {
        List<String> live = new ArrayList<>();
        live.add(self);
        heard.forEach(
                (vmId, h) -> {
                    if (isLive(h, nowMillis)) {
                        live.add(vmId);
                    }
                });
        return live;
    }

    /**
     * Returns the router that owns something.
     *
     * @param thing what is owned
     * @param excluded routers that were found not to answer
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the VM of the owner; this router where no other is known
     */
    public String ownerOf(String thing, Set<String> excluded, long nowMillis) {
        String owner = self;
        long best = leaving ? Long.MIN_VALUE : RendezvousHash.score(thing, self);
        boolean own = !leaving;
        for (Map.Entry<String, Heard> entry : heard.entrySet()) {
            boolean able =
                    isLive(entry.getValue(), nowMillis)
                            && !entry.getValue().leaving()
                            && !excluded.contains(entry.getKey());
            long score = RendezvousHash.score(thing, entry.getKey());
            if (able && (!own || Long.compareUnsigned(score, best) > 0)) {
                own = true;
                best = score;
                owner = entry.getKey();
            }
        }
        return owner;
    }

    /**
     * Returns the number of routers among which shared limits are split.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the largest number known lately; a cautious one just after the start
     */
    public int routers(long nowMillis) {
        boolean young = nowMillis - startedMillis < LIVE_MILLIS * 3;
        return Math.max(young ? assumedRouters : 1, largestCount);
    }

    private static boolean isLive(Heard heard, long nowMillis) {
        return nowMillis - heard.atMillis() < LIVE_MILLIS;
    }
}
