package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * A fleet of routers in front of one upstream that may be cold, in virtual time. Each router reads
 * what the platform publishes after a random delay.
 */
final class ColdFleet {
    static final double COLD_PER_SECOND = 8.8;
    static final long COLD_START_MILLIS = 3_000;

    /** The time until every router that reads the platform has read a change. */
    static final long MAX_READ_MILLIS = 1_000;

    /** The interval at which the upstream writes its entry. */
    static final long ENTRY_MILLIS = 1_200;

    private static final String UPSTREAM = "u";
    private static final String DOMAIN = "d";
    private static final long MIN_READ_MILLIS = 10;
    private static final long TICK_MILLIS = 100;
    private static final long SETTLE_MILLIS = 20_000;
    private static final long MAX_SEND_MILLIS = 30;
    private static final long PATIENCE_MILLIS = 500;
    private static final double PATIENT_SHARE = 0.2;
    private static final int RANKS = 3;
    private static final int MIN_ASSUMED_ROUTERS = 12;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final ServiceEntry SERVICE =
            new ServiceEntry(
                    "s", 0, Optional.empty(), Optional.empty(), COLD_START_MILLIS, COLD_PER_SECOND);

    private final SplittableRandom random;
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final List<Router> routers = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final int assumedRouters;
    private final double demandPerSecond;
    private long coldUntilMillis;
    private long startedMillis = 1;
    private long incarnation = 1;

    /** Creates a fleet whose routers have just started; their settings give their number. */
    ColdFleet(int size, double demandPerSecond, long seed) {
        this.random = new SplittableRandom(seed);
        this.assumedRouters = Math.max(MIN_ASSUMED_ROUTERS, size);
        this.demandPerSecond = demandPerSecond;
        for (int i = 0; i < size; i++) {
            routers.add(new Router("vm-" + i));
        }
        scheduleDemand();
    }

    /** Waits until the routers know each other. */
    ColdFleet settle() {
        advance(SETTLE_MILLIS);
        return this;
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

    void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    long nowMillis() {
        return loop.nowMillis();
    }

    /** Starts the upstream, which is cold for a while and writes its entry at intervals. */
    void startUpstream(long coldMillis) {
        chillUpstream(coldMillis);
        writeEntry();
    }

    /** Makes the upstream cold; its next entry says so. */
    void chillUpstream(long coldMillis) {
        coldUntilMillis = nowMillis() + coldMillis;
    }

    /** Restarts the upstream under its id; the new process is warm. */
    void restartUpstreamWarm() {
        startedMillis++;
        coldUntilMillis = nowMillis();
    }

    private void writeEntry() {
        UpstreamEntry entry =
                new UpstreamEntry(
                        UPSTREAM,
                        "s",
                        "10.0.0.1:80",
                        DOMAIN,
                        8,
                        startedMillis,
                        false,
                        Math.max(0, coldUntilMillis - nowMillis()));
        publish(router -> router.table.put(entry, nowMillis()));
        loop.after(ENTRY_MILLIS, this::writeEntry);
    }

    void evacuate() {
        publish(router -> router.table.evacuate(DOMAIN));
    }

    void endEvacuation() {
        publish(router -> router.table.domainReturned(DOMAIN, nowMillis()));
    }

    private void publish(Consumer<Router> change) {
        routers.forEach(router -> router.read(change));
    }

    /** Returns the place of the router that owns the limit in the view of the first one. */
    int owner() {
        String owner =
                routers.get(0).membership.ownerOf("permit/" + UPSTREAM, Set.of(), nowMillis());
        for (int i = 0; i < routers.size(); i++) {
            if (routers.get(i).vmId.equals(owner)) {
                return i;
            }
        }
        throw new IllegalStateException("no router is " + owner);
    }

    /** Cuts a router off from the platform. */
    void cutFromPlatform(int index) {
        routers.get(index).readsPlatform = false;
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

    /** Cuts the first routers off from the others; 0 makes the fleet whole again. */
    void cut(int count) {
        Set<String> side = new HashSet<>();
        routers.subList(0, count).forEach(router -> side.add(router.vmId));
        peers.cut(side);
    }

    /** Returns the number of requests that arrived in a time span. */
    int arrivals(long fromMillis, long toMillis) {
        return (int) arrivals.stream().filter(a -> a >= fromMillis && a < toMillis).count();
    }

    /** Returns the largest number of requests in any second of a time span. */
    int busiestSecond(long fromMillis, long toMillis) {
        List<Long> span =
                arrivals.stream().filter(a -> a >= fromMillis && a < toMillis).sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < span.size(); last++) {
            while (span.get(last) - span.get(first) >= MILLIS_PER_SECOND) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** One router, without its callers' side. */
    private final class Router {
        private final String vmId;
        private final UpstreamTable table = new UpstreamTable(2_000);
        private final SeedMembership membership;
        private final HeartbeatService heartbeats;
        private final PeerPermits permits;
        private boolean readsPlatform = true;
        private long lastReadMillis;
        private boolean ended;

        Router(String vmId) {
            this.vmId = vmId;
            table.setServices(name -> Optional.of(SERVICE));
            PeerTransport transport = peers.add(vmId);
            membership =
                    new SeedMembership(
                            vmId,
                            incarnation++,
                            List.of("vm-0", "vm-1", "vm-2"),
                            assumedRouters,
                            random.split(),
                            loop.nowMillis());
            heartbeats =
                    new HeartbeatService(
                            transport,
                            membership,
                            loop,
                            Map::of,
                            Set::of,
                            (service, backlog) -> {},
                            table.announcements(),
                            ProgressExchange.NONE);
            permits = new PeerPermits(transport, membership, table, loop);
            heartbeats.start();
            permits.start();
            Disposable unused = loop.every(TICK_MILLIS, () -> table.expire(loop.nowMillis()));
        }

        void end() {
            ended = true;
            heartbeats.stop();
            permits.stop();
            peers.silence(vmId);
        }

        /** Applies a change after a random delay, after those that were published before. */
        void read(Consumer<Router> change) {
            if (readsPlatform) {
                long delayMillis = random.nextLong(MIN_READ_MILLIS, MAX_READ_MILLIS);
                lastReadMillis = Math.max(lastReadMillis, loop.nowMillis() + delayMillis);
                loop.after(lastReadMillis - loop.nowMillis(), () -> change.accept(this));
            }
        }

        void demand() {
            if (table.serving("s").isEmpty()) {
                return;
            }
            if (!permits.isNeeded(PermitKind.SEND, UPSTREAM)) {
                send();
                return;
            }
            if (permits.unavailableMillis(PermitKind.SEND, UPSTREAM) > 0) {
                return;
            }
            long timeoutMillis = random.nextDouble() < PATIENT_SHARE ? PATIENCE_MILLIS : 0;
            Disposable unused =
                    permits.acquire(
                            PermitKind.SEND,
                            UPSTREAM,
                            random.nextInt(RANKS),
                            timeoutMillis,
                            this::decided);
        }

        private void decided(PermitDecision decision) {
            if (decision.granted() && !ended && !table.serving("s").isEmpty()) {
                send();
            }
        }

        private void send() {
            arrivals.add(loop.nowMillis() + random.nextLong(MAX_SEND_MILLIS));
        }
    }
}
