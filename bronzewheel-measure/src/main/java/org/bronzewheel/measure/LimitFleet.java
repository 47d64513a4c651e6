package org.bronzewheel.measure;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.PeerPermits;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.Announcements;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * A fleet of routers before one upstream that names a limit, in virtual time.
 *
 * <p>Callers ask every router; some of the requests may wait for a permit, the others have another
 * upstream to go to.
 */
final class LimitFleet {
    /** The span over which the limit is judged, in milliseconds. */
    static final long WINDOW_MILLIS = 4_000;

    private static final String UPSTREAM = "u";
    private static final UpstreamEntry ENTRY =
            new UpstreamEntry(UPSTREAM, "s", "10.0.0.1:80", "d", 8, 0, false);
    private static final long SETTLE_MILLIS = 20_000;
    private static final long ANSWER_MILLIS = 120;
    private static final long NOTICE_MILLIS = 3_000;
    private static final long TOLD_MILLIS = 500;
    private static final long PATIENCE_MILLIS = 500;
    private static final double PATIENT_PART = 0.2;
    private static final int RANKS = 3;
    private static final int ASSUMED_ROUTERS = 12;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double BYTES_PER_KILOBYTE = 1_000;

    private final SplittableRandom random;
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final List<Router> routers = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Histogram waitMillis = new Histogram(3);
    private final double demandPerSecond;
    private double limitPerSecond;
    private boolean limited;
    private long namedMillis;
    private long incarnation = 1;

    /** A request that reached the upstream from a router that may have known its limit. */
    private record Arrival(long atMillis, boolean told) {}

    /**
     * Creates a fleet that knows of no limit yet.
     *
     * @param count the number of routers
     * @param limitPerSecond the limit that the upstream will name
     * @param demandPerSecond the requests a second for which it is the first choice
     * @param seed the seed of the randomness
     */
    LimitFleet(int count, double limitPerSecond, double demandPerSecond, long seed) {
        this.limitPerSecond = limitPerSecond;
        this.demandPerSecond = demandPerSecond;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            routers.add(new Router("vm-" + i));
        }
        scheduler.advanceTimeBy(SETTLE_MILLIS, TimeUnit.MILLISECONDS);
        scheduleDemand();
    }

    private void scheduleDemand() {
        double pauseMillis =
                -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / demandPerSecond;
        loop.after(
                Math.round(pauseMillis),
                () -> {
                    routers.get(random.nextInt(routers.size())).demand();
                    scheduleDemand();
                });
    }

    /** Lets the upstream name its limit from now on. */
    void nameLimit() {
        limited = true;
        namedMillis = loop.nowMillis();
    }

    /** Lets the upstream name another limit. */
    void nameLimit(double perSecond) {
        limitPerSecond = perSecond;
    }

    /** Lets the upstream name no limit any more. */
    void endLimit() {
        limited = false;
    }

    void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    int size() {
        return routers.size();
    }

    /** Returns the place of the router that keeps the limit in the view of most. */
    int keeper() {
        String owner =
                routers.get(0).membership.ownerOf("permit/" + UPSTREAM, Set.of(), loop.nowMillis());
        for (int i = 0; i < routers.size(); i++) {
            if (routers.get(i).vmId.equals(owner)) {
                return i;
            }
        }
        return 0;
    }

    /** Ends a router without notice. */
    void kill(int index) {
        routers.remove(index).end();
    }

    /** Ends a router without notice and starts it anew on its VM after a while. */
    void restart(int index, long afterMillis) {
        Router ended = routers.remove(index);
        ended.end();
        loop.after(
                afterMillis,
                () -> {
                    peers.heal(ended.vmId);
                    routers.add(new Router(ended.vmId));
                });
    }

    /** Stops a router as planned and starts it anew on its VM after a while. */
    void stop(int index, long afterMillis) {
        routers.get(index).network.leave();
        String vmId = routers.get(index).vmId;
        loop.after(
                afterMillis,
                () -> {
                    for (int i = 0; i < routers.size(); i++) {
                        if (routers.get(i).vmId.equals(vmId)) {
                            restart(i, afterMillis);
                            return;
                        }
                    }
                });
    }

    /** Cuts the first routers off from the others; 0 makes the fleet whole again. */
    void cut(int count) {
        Set<String> side = new HashSet<>();
        routers.subList(0, count).forEach(router -> side.add(router.vmId));
        peers.cut(side);
    }

    /** Lets a router neither send nor receive between routers, or ends that. */
    void silence(int index, long millis) {
        String vmId = routers.get(index).vmId;
        peers.silence(vmId);
        loop.after(millis, () -> peers.heal(vmId));
    }

    /** Returns the requests in the worst window, from routers that had been told of the limit. */
    int worstWindow() {
        List<Long> told =
                arrivals.stream()
                        .filter(Arrival::told)
                        .map(Arrival::atMillis)
                        .filter(at -> at >= namedMillis + NOTICE_MILLIS)
                        .toList();
        int worst = 0;
        int first = 0;
        for (int last = 0; last < told.size(); last++) {
            while (told.get(last) - told.get(first) >= WINDOW_MILLIS) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        return worst;
    }

    /** Returns the requests a second that reached the upstream since a moment. */
    double perSecondSince(long sinceMillis) {
        long count = arrivals.stream().filter(a -> a.atMillis() >= sinceMillis).count();
        return count * MILLIS_PER_SECOND / (loop.nowMillis() - sinceMillis);
    }

    long nowMillis() {
        return loop.nowMillis();
    }

    /** Returns the longest wait of 99 in 100 requests that got a permit, in milliseconds. */
    double waitMillis99() {
        return (double) waitMillis.getValueAtPercentile(99);
    }

    /** Returns what a router sends to others, in messages; since the start of the fleet. */
    double messagesPerRouter(Channel channel) {
        return (double) peers.messages(channel) / routers.size();
    }

    /** Returns what a router sends to others, in kilobytes; since the start of the fleet. */
    double kilobytesPerRouter(Channel channel) {
        return peers.bytes(channel) / BYTES_PER_KILOBYTE / routers.size();
    }

    /** Returns the number of routers that know of a limit. */
    long routersThatKnow() {
        return routers.stream()
                .filter(r -> r.announcements.perSecond(UPSTREAM).isPresent())
                .count();
    }

    /** One router, without its callers' side. */
    private final class Router {
        private final String vmId;
        private final UpstreamTable table = new UpstreamTable(0);
        private final Announcements announcements = table.announcements();
        private final SeedMembership membership;
        private final HeartbeatService network;
        private final PeerPermits permits;
        private long toldMillis = Long.MAX_VALUE;
        private boolean ended;

        Router(String vmId) {
            this.vmId = vmId;
            PeerTransport transport = peers.add(vmId);
            membership =
                    new SeedMembership(
                            vmId,
                            incarnation++,
                            List.of("vm-0", "vm-1", "vm-2"),
                            ASSUMED_ROUTERS,
                            random.split(),
                            loop.nowMillis());
            network =
                    new HeartbeatService(
                            transport,
                            membership,
                            loop,
                            Map::of,
                            Set::of,
                            (service, backlog) -> {},
                            announcements,
                            ProgressExchange.NONE);
            permits = new PeerPermits(transport, membership, table, loop);
            network.start();
            permits.start();
        }

        void end() {
            ended = true;
            network.stop();
            permits.stop();
            peers.silence(vmId);
        }

        void demand() {
            if (!permits.isNeeded(PermitKind.SEND, UPSTREAM)) {
                send();
                return;
            }
            if (permits.unavailableMillis(PermitKind.SEND, UPSTREAM) > 0) {
                return;
            }
            long askedMillis = loop.nowMillis();
            long patience = random.nextDouble() < PATIENT_PART ? PATIENCE_MILLIS : 0;
            Disposable unused =
                    permits.acquire(
                            PermitKind.SEND,
                            UPSTREAM,
                            random.nextInt(RANKS),
                            patience,
                            decision -> decided(decision, askedMillis));
        }

        private void decided(PermitDecision decision, long askedMillis) {
            if (decision.granted() && !ended) {
                waitMillis.recordValue(loop.nowMillis() - askedMillis);
                send();
            }
        }

        private void send() {
            long sentMillis = loop.nowMillis();
            arrivals.add(new Arrival(sentMillis, sentMillis - TOLD_MILLIS >= toldMillis));
            AnnouncedLimit said = limited ? AnnouncedLimit.of(limitPerSecond) : AnnouncedLimit.NONE;
            loop.after(ANSWER_MILLIS, () -> answered(said, sentMillis));
        }

        private void answered(AnnouncedLimit said, long sentMillis) {
            if (said.perSecond().isPresent()) {
                toldMillis = Math.min(toldMillis, loop.nowMillis());
            }
            announcements.announced(ENTRY, Announcement.good(said), sentMillis, loop.nowMillis());
        }
    }
}
