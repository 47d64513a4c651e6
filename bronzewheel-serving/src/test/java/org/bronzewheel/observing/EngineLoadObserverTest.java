package org.bronzewheel.observing;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.EnginePool;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.Test;

class EngineLoadObserverTest {
    private final Loop loop = new Loop(new TestScheduler(), () -> 0);
    private final CatalogState catalog = new CatalogState(4_000);
    private final UpstreamTable table = new UpstreamTable(2_000);
    private final OtherRoutersLoad others = new OtherRoutersLoad();
    private final EngineLoadObserver observer =
            new EngineLoadObserver(catalog, table, others, loop);

    private Upstream upstream(String id, String service) {
        table.put(new UpstreamEntry(id, service, "127.0.0.1:1", "a", 24, 1, false), 0);
        return table.known(id).orElseThrow();
    }

    private void applyCatalog() {
        catalog.applyIfNewer(
                new Catalog(
                        1,
                        List.of(),
                        List.of(
                                new ServiceEntry(
                                        "llm",
                                        9,
                                        Optional.empty(),
                                        Optional.of(new EnginePool(24, 1_000))),
                                new ServiceEntry("plain", 9, Optional.empty(), Optional.empty())),
                        CallerAccess.anyCaller(),
                        new CallerLimits(1, 1, 1, 1)));
    }

    // Guards against figures about engines that include calls to plain upstreams.
    @Test
    void onlyEnginesAreCounted() {
        applyCatalog();
        Upstream engine = upstream("engine", "llm");
        Upstream plain = upstream("plain", "plain");
        for (Upstream upstream : List.of(engine, plain)) {
            upstream.callStarted(0);
            others.beginReport(4, loop.nowMillis());
            others.add(upstream.loadKey(), 3, 0, loop.nowMillis());
        }
        assertThat(observer.engines()).containsExactly(engine);
        assertThat(observer.ownCalls()).isEqualTo(1);
        assertThat(observer.othersCalls()).isWithin(0.01).of(3 / 2.0 * 4);
        assertThat(observer.reports()).isWithin(0.01).of(2);
        assertThat(observer.maxSlowness()).isEqualTo(1.0);
    }

    @Test
    void withoutAConfigurationThereAreNoEngines() {
        upstream("engine", "llm").callStarted(0);
        assertThat(observer.engines()).isEmpty();
        assertThat(observer.ownCalls()).isEqualTo(0);
        observer.tick();
    }
}
