package org.bronzewheel.peering;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.bronzewheel.wire.UpstreamLoads;
import org.junit.jupiter.api.Test;

class LoadReporterTest {
    private static final long BEAT_MILLIS = 350;

    /** The number of heartbeats that a router receives in one interval. */
    private static final int HEARD_PER_BEAT = 5;

    private static final int OTHER_ROUTERS = 75;

    private final UpstreamTable senderTable = new UpstreamTable(2_000);
    private final UpstreamTable table = new UpstreamTable(2_000);
    private final OtherRoutersLoad others = new OtherRoutersLoad();
    private final LoadReporter sender =
            new LoadReporter(senderTable::all, now -> OTHER_ROUTERS, new OtherRoutersLoad());
    private final LoadReporter receiver =
            new LoadReporter(table::all, now -> OTHER_ROUTERS, others);
    private long nowMillis = 10_000;

    private static UpstreamEntry entry(String id, long startedMillis) {
        return new UpstreamEntry(id, "llm", "127.0.0.1:1", "a", 24, startedMillis, false);
    }

    private Upstream engine(String id, long startedMillis) {
        senderTable.put(entry(id, startedMillis), 0);
        table.put(entry(id, startedMillis), 0);
        return table.known(id).orElseThrow();
    }

    private void call(String id, int tokens) {
        senderTable.known(id).orElseThrow().callStarted(tokens);
    }

    private UpstreamLoads report() {
        return sender.own().orElseThrow();
    }

    /** Receives reports for some seconds, of which every n-th names the load of the sender. */
    private void hear(int seconds, int every) {
        int count = 0;
        for (long end = nowMillis + seconds * 1_000L; nowMillis < end; nowMillis += BEAT_MILLIS) {
            for (int i = 0; i < HEARD_PER_BEAT; i++) {
                receiver.received(
                        count++ % every == 0 ? report() : UpstreamLoads.getDefaultInstance(),
                        nowMillis);
            }
        }
    }

    @Test
    void theLoadOfAllOthersIsEstimatedFromThoseHeard() {
        Upstream engine = engine("e", 1);
        call("e", 6_000);
        hear(5, 5);
        // One router in five has one request there: 15 of 75.
        assertThat(others.calls(engine, nowMillis)).isWithin(7.5).of(15);
        assertThat(others.promptTokens(engine, nowMillis)).isWithin(45_000).of(90_000);
    }

    @Test
    void anEngineThatNoReportNamesHasNoLoad() {
        Upstream idle = engine("idle", 1);
        engine("e", 1);
        call("e", 100);
        hear(5, 1);
        assertThat(others.calls(idle, nowMillis)).isEqualTo(0.0);
    }

    // Guards against requests that avoid an engine because of routers that are dead or partitioned.
    @Test
    void reportsThatHaveStoppedNoLongerCount() {
        Upstream engine = engine("e", 1);
        call("e", 6_000);
        hear(5, 1);
        assertThat(others.calls(engine, nowMillis)).isGreaterThan(50.0);
        nowMillis += 5_000;
        assertThat(others.calls(engine, nowMillis)).isLessThan(0.5);
        assertThat(others.reports(nowMillis)).isLessThan(0.01);
    }

    // Guards against a herd on stale reports: what one router told last must not outweigh what the
    // others tell since.
    @Test
    void aStaleReportLosesItsWeightToNewerOnes() {
        Upstream engine = engine("e", 1);
        call("e", 6_000);
        hear(5, 1);
        senderTable.known("e").orElseThrow().callEnded(6_000);
        hear(2, 1);
        assertThat(others.calls(engine, nowMillis)).isLessThan(2.0);
    }

    @Test
    void aRestartUnderTheSameIdDiscardsTheLoad() {
        engine("e", 1);
        call("e", 6_000);
        hear(5, 1);
        assertThat(others.calls(engine("e", 2), nowMillis)).isEqualTo(0.0);
    }

    @Test
    void aReportIsBoundedAndNamesTheMostLoadedEngines() {
        List<Integer> keys = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            keys.add(engine("engine-" + i, 1).loadKey());
            call("engine-" + i, i + 1);
        }
        UpstreamLoads report = report();
        assertThat(report.getUpstreamsCount()).isEqualTo(LoadReporter.MAX_UPSTREAMS);
        assertThat(report.getUpstreams(0)).isEqualTo(keys.get(599));
    }

    // Guards against control traffic beyond 22 KB/s a router at 390 routers: docs/CAPACITY.md gives
    // 10.5 KB/s to heartbeats, 3.8 KB/s to announcements and 3.1 KB/s to evidence at their worst.
    @Test
    void theLargestReportStaysWithinTheControlTraffic() {
        for (int i = 0; i < 600; i++) {
            engine("engine-" + i, 1);
            for (int call = 0; call < 3; call++) {
                call("engine-" + i, 6_000);
            }
        }
        double messagesPerSecond = HEARD_PER_BEAT * 1_000.0 / BEAT_MILLIS;
        assertThat(report().getSerializedSize() * messagesPerSecond).isLessThan(4_600.0);
    }

    @Test
    void invalidReportsAreIgnored() {
        Upstream engine = engine("e", 1);
        UpstreamLoads shortLists =
                UpstreamLoads.newBuilder().addUpstreams(engine.loadKey()).addCalls(5).build();
        UpstreamLoads negative =
                UpstreamLoads.newBuilder()
                        .addUpstreams(engine.loadKey())
                        .addCalls(-5)
                        .addPromptTokens(1)
                        .build();
        for (UpstreamLoads report : List.of(shortLists, negative)) {
            receiver.received(report, nowMillis);
        }
        assertThat(others.reports(nowMillis)).isEqualTo(0.0);
        assertThat(others.calls(engine, nowMillis)).isEqualTo(0.0);
    }
}
