package org.bronzewheel.measure;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.Announcements;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamSelector;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * A fleet of routers before upstreams of one service, some of which leave while the store is
 * silent, in virtual time.
 */
final class LeavingFleet {
    private static final String SERVICE = "s";
    private static final String DOMAIN = "d";
    private static final long SETTLE_MILLIS = 20_000;
    private static final long ANSWER_MILLIS = 60;
    private static final int ASSUMED_ROUTERS = 12;
    private static final double UPSTREAMS_PER_ROUTER = 1.5;
    private static final double PER_UPSTREAM_PER_SECOND = 10;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double BYTES_PER_KILOBYTE = 1_000;

    private final SplittableRandom random;
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final List<Router> routers = new ArrayList<>();
    private final List<UpstreamEntry> entries = new ArrayList<>();
    private final boolean tellsOthers;
    private int leavers;
    private long goneMillis = Long.MAX_VALUE;
    private int sentAfterEnd;
    private int refused;
    private int sent;
    private long incarnation = 1;

    /**
     * Creates a fleet in which no upstream leaves yet.
     *
     * @param count the number of routers
     * @param tellsOthers whether routers tell each other which upstreams leave
     * @param seed the seed of the randomness
     */
    LeavingFleet(int count, boolean tellsOthers, long seed) {
        this.random = new SplittableRandom(seed);
        this.tellsOthers = tellsOthers;
        int upstreams = (int) Math.round(count * UPSTREAMS_PER_ROUTER);
        for (int i = 0; i < upstreams; i++) {
            entries.add(
                    new UpstreamEntry(
                            "u" + i, SERVICE, "10.0.0.1:80", DOMAIN, 8, 1_000 + i, false));
        }
        for (int i = 0; i < count; i++) {
            routers.add(new Router("vm-" + i));
        }
        scheduler.advanceTimeBy(SETTLE_MILLIS, TimeUnit.MILLISECONDS);
        scheduleDemand(upstreams * PER_UPSTREAM_PER_SECOND);
    }

    private void scheduleDemand(double perSecond) {
        double pauseMillis = -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
        loop.after(
                Math.round(pauseMillis),
                () -> {
                    routers.get(random.nextInt(routers.size())).demand();
                    scheduleDemand(perSecond);
                });
    }

    /** Lets the first upstreams leave: they say so in their answers, and end after a while. */
    void leave(int count, long drainMillis) {
        leavers = count;
        goneMillis = loop.nowMillis() + drainMillis;
    }

    /** Lets a router tell that all upstreams leave, though none does. */
    void lie(int index) {
        Router liar = routers.get(index);
        long nowMillis = loop.nowMillis();
        entries.forEach(entry -> liar.told.announced(entry, answer(true), nowMillis, nowMillis));
    }

    /** Ends a router without notice and starts it anew on its VM after a while. */
    void restart(int index, long afterMillis) {
        Router ended = routers.remove(index);
        ended.network.stop();
        peers.silence(ended.vmId);
        loop.after(
                afterMillis,
                () -> {
                    peers.heal(ended.vmId);
                    routers.add(new Router(ended.vmId));
                });
    }

    /** Lets a router neither send nor receive between routers for a while. */
    void silence(int index, long millis) {
        String vmId = routers.get(index).vmId;
        peers.silence(vmId);
        loop.after(millis, () -> peers.heal(vmId));
    }

    void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    int upstreams() {
        return entries.size();
    }

    /** Returns the requests to upstreams that had ended. */
    int sentAfterEnd() {
        return sentAfterEnd;
    }

    /** Returns the requests for which there was no upstream. */
    int refused() {
        return refused;
    }

    int sent() {
        return sent;
    }

    /** Returns the signs of life that a router sent, in kilobytes; since the start of the fleet. */
    double kilobytesPerRouter() {
        return peers.bytes(Channel.MEMBERSHIP) / BYTES_PER_KILOBYTE / routers.size();
    }

    private static Announcement answer(boolean leaving) {
        return new Announcement(
                Announcement.Origin.GOOD, AnnouncedLimit.NONE, leaving, OptionalLong.empty());
    }

    /** One router, without its callers' side. */
    private final class Router {
        private final String vmId;
        private final UpstreamTable table = new UpstreamTable(0);
        private final Announcements told;
        private final HeartbeatService network;

        Router(String vmId) {
            this.vmId = vmId;
            table.replaceAll(entries, loop.nowMillis());
            told = tellsOthers ? table.announcements() : new Announcements();
            network =
                    new HeartbeatService(
                            peers.add(vmId),
                            new SeedMembership(
                                    vmId,
                                    incarnation++,
                                    List.of("vm-0", "vm-1", "vm-2"),
                                    ASSUMED_ROUTERS,
                                    random.split(),
                                    loop.nowMillis()),
                            loop,
                            Map::of,
                            Set::of,
                            (service, backlog) -> {},
                            told,
                            ProgressExchange.NONE);
            network.start();
        }

        void demand() {
            // All cost the same here, so that the first of a random order is chosen.
            List<Upstream> candidates = new ArrayList<>(table.serving(SERVICE));
            if (!candidates.isEmpty()) {
                Collections.rotate(candidates, random.nextInt(candidates.size()));
            }
            Optional<Upstream> chosen =
                    UpstreamSelector.selectForService(
                            candidates, Set.of(), DOMAIN, loop.nowMillis());
            if (chosen.isEmpty()) {
                refused++;
                return;
            }
            sent++;
            send(chosen.get().entry());
        }

        private void send(UpstreamEntry to) {
            long sentMillis = loop.nowMillis();
            boolean leaving = entries.indexOf(to) < leavers;
            if (leaving && sentMillis >= goneMillis) {
                sentAfterEnd++;
                return;
            }
            loop.after(
                    ANSWER_MILLIS,
                    () ->
                            table.announcements()
                                    .announced(to, answer(leaving), sentMillis, loop.nowMillis()));
        }
    }
}
