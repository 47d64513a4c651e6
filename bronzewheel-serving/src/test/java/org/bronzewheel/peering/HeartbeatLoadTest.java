package org.bronzewheel.peering;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The load of routers in their heartbeats, over a network in virtual time. */
class HeartbeatLoadTest {
    // Held here, as the log manager keeps only weak references to loggers.
    private static final Logger LOGS = Logger.getLogger("org.bronzewheel");

    /** The bytes of a message besides its payload: those of the link, IP and TCP. */
    private static final int HEADER_BYTES = 66;

    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> 0);
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<Router> routers = new ArrayList<>();

    @BeforeAll
    static void logWarningsOnly() {
        LOGS.setLevel(Level.WARNING);
    }

    @AfterAll
    static void logAsBefore() {
        LOGS.setLevel(null);
    }

    private final class Router {
        private final UpstreamTable table = new UpstreamTable(2_000);
        private final OtherRoutersLoad others = new OtherRoutersLoad();

        Router(String vmId, int firstUpstream, int upstreams, Set<String> backlogReaders) {
            for (int i = firstUpstream; i < firstUpstream + upstreams; i++) {
                table.put(
                        new UpstreamEntry("engine-" + i, "llm", "127.0.0.1:1", "a", 24, 1, false),
                        0);
            }
            PeerTransport transport = peers.add(vmId);
            SeedMembership membership =
                    new SeedMembership(
                            vmId,
                            1,
                            List.of("vm-0", "vm-1", "vm-2"),
                            1,
                            random.split(),
                            loop.nowMillis());
            new HeartbeatService(
                            transport,
                            membership,
                            loop,
                            Map::of,
                            () -> backlogReaders,
                            (service, backlog) -> {},
                            table.announcements(),
                            ProgressExchange.NONE,
                            new LoadReporter(
                                    table::all, now -> membership.live(now).size() - 1, others))
                    .start();
        }

        Upstream upstream(int index) {
            return table.known("engine-" + index).orElseThrow();
        }

        double othersCalls(int index) {
            return others.calls(upstream(index), loop.nowMillis());
        }
    }

    private void start(int count, int upstreams) {
        for (int i = 0; i < count; i++) {
            routers.add(new Router("vm-" + i, 0, upstreams, Set.of()));
        }
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the mean estimate of a router over some seconds. */
    private double meanOthersCalls(Router router, int upstream) {
        double sum = 0;
        int readings = 100;
        for (int i = 0; i < readings; i++) {
            advance(100);
            sum += router.othersCalls(upstream);
        }
        return sum / readings;
    }

    @Test
    void theEstimateIsTheLoadOfAllOthersOnAverage() {
        start(30, 2);
        routers.forEach(router -> router.upstream(0).callStarted(0));
        routers.get(0).upstream(1).callStarted(0);
        advance(10_000);
        assertThat(meanOthersCalls(routers.get(29), 0)).isWithin(3).of(29);
        assertThat(meanOthersCalls(routers.get(29), 1)).isLessThan(3.0);
    }

    // Guards against requests that avoid an engine because of a router that is dead or partitioned.
    @Test
    void theLoadOfARouterThatDiesNoLongerCountsSoonAfterwards() {
        start(3, 1);
        for (int i = 0; i < 20; i++) {
            routers.get(0).upstream(0).callStarted(100);
        }
        advance(5_000);
        assertThat(routers.get(2).othersCalls(0)).isWithin(10).of(20);
        peers.silence("vm-0");
        advance(5_000);
        assertThat(routers.get(2).othersCalls(0)).isLessThan(0.5);
    }

    // Guards against a router that keeps the last reports of others while it is cut off.
    @Test
    void aRouterThatIsCutOffCountsOnlyItsOwnCalls() {
        start(3, 1);
        routers.get(0).upstream(0).callStarted(100);
        routers.get(1).upstream(0).callStarted(100);
        advance(5_000);
        assertThat(routers.get(2).othersCalls(0)).isWithin(1).of(2);
        peers.silence("vm-2");
        advance(5_000);
        assertThat(routers.get(2).othersCalls(0)).isLessThan(0.05);
    }

    // Guards against the load of one owner that outweighs that of all others at its submitters.
    @Test
    void heartbeatsForSubmittersOnlyDoNotCarryLoad() {
        Router owner = new Router("vm-owner", 0, 1, Set.of("vm-submitter"));
        Router submitter = new Router("vm-submitter", 0, 1, Set.of());
        owner.upstream(0).callStarted(100);
        // The two know no seeds that live, so the owner sends to the submitter for its backlog
        // only.
        advance(300);
        assertThat(submitter.others.reports(loop.nowMillis())).isEqualTo(0.0);
    }

    // Guards against control traffic beyond 22 KB/s a router at 390 routers before 600 upstreams,
    // where announcements take up to 3.8 KB/s and evidence 3.1 KB/s (docs/CAPACITY.md).
    @Test
    void heartbeatsWithLoadStayWithinTheControlTraffic() {
        for (int i = 0; i < 390; i++) {
            // Each router knows only the upstreams that it has requests at, which saves memory.
            int first = random.nextInt(600);
            Router router = new Router("vm-" + i, first, 45, Set.of());
            routers.add(router);
            for (int call = 0; call < 45; call++) {
                router.upstream(first + call).callStarted(random.nextInt(4) == 0 ? 6_610 : 0);
            }
        }
        // The time in which all routers become known to each other.
        advance(30_000);
        long before = sentBytes();
        advance(20_000);
        double perSecond = (sentBytes() - before) / 20.0 / routers.size();
        assertThat(perSecond).isLessThan(22_000.0 - 3_800 - 3_100);
    }

    private long sentBytes() {
        return peers.bytes(Channel.MEMBERSHIP) + HEADER_BYTES * peers.messages(Channel.MEMBERSHIP);
    }
}
