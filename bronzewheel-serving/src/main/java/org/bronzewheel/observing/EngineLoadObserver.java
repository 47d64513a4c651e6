package org.bronzewheel.observing;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamTable;

/** What this router knows about the speed of the model engines and the load on them. */
public final class EngineLoadObserver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long LOG_INTERVAL_MILLIS = 10_000;
    private static final int LOGGED_ENGINES = 5;

    private final CatalogState catalog;
    private final UpstreamTable upstreams;
    private final OtherRoutersLoad others;
    private final Loop loop;
    private long loggedMillis;

    /**
     * Creates an observer.
     *
     * @param catalog tells which services are model engines
     * @param upstreams the known upstreams
     * @param others the load of the other routers
     * @param loop the serving loop
     */
    public EngineLoadObserver(
            CatalogState catalog, UpstreamTable upstreams, OtherRoutersLoad others, Loop loop) {
        this.catalog = catalog;
        this.upstreams = upstreams;
        this.others = others;
        this.loop = loop;
        this.loggedMillis = loop.nowMillis();
    }

    /**
     * Returns the known model engines.
     *
     * @return the engines, including leaving ones
     */
    public List<Upstream> engines() {
        return catalog.current()
                .map(
                        known ->
                                upstreams.all().stream()
                                        .filter(upstream -> isEngine(known, upstream))
                                        .toList())
                .orElse(List.of());
    }

    private static boolean isEngine(Catalog catalog, Upstream upstream) {
        return catalog.service(upstream.entry().service())
                .flatMap(ServiceEntry::enginePool)
                .isPresent();
    }

    /**
     * Returns the requests of this router in progress at engines.
     *
     * @return the number
     */
    public int ownCalls() {
        return engines().stream().mapToInt(Upstream::callsInFlight).sum();
    }

    /**
     * Returns the estimated requests of the other routers in progress at engines.
     *
     * @return the number
     */
    public double othersCalls() {
        long nowMillis = loop.nowMillis();
        return engines().stream().mapToDouble(engine -> others.calls(engine, nowMillis)).sum();
    }

    /**
     * Returns the decayed number of load reports that other routers sent recently.
     *
     * @return the number; near 0 if none are received
     */
    public double reports() {
        return others.reports(loop.nowMillis());
    }

    /**
     * Returns the estimated slowness of the slowest engine.
     *
     * @return 1 for the usual speed
     */
    public double maxSlowness() {
        long nowMillis = loop.nowMillis();
        return engines().stream().mapToDouble(engine -> engine.slowness(nowMillis)).max().orElse(1);
    }

    /** Logs the load and the slowest engines now and then while there are requests. */
    public void tick() {
        long nowMillis = loop.nowMillis();
        if (nowMillis - loggedMillis < LOG_INTERVAL_MILLIS || ownCalls() == 0) {
            return;
        }
        loggedMillis = nowMillis;
        logger.atInfo().log(
                "engine load: ownCalls=%d othersCalls=%.1f reports=%.1f slowest=%s",
                ownCalls(), othersCalls(), reports(), slowest(nowMillis));
    }

    private List<String> slowest(long nowMillis) {
        return engines().stream()
                .sorted(
                        Comparator.<Upstream>comparingDouble(engine -> engine.slowness(nowMillis))
                                .reversed())
                .limit(LOGGED_ENGINES)
                .map(engine -> describe(engine, nowMillis))
                .toList();
    }

    private String describe(Upstream engine, long nowMillis) {
        return String.format(
                Locale.ROOT,
                "%s slowness=%.2f reportedSlowness=%.2f ownCalls=%d othersCalls=%.1f",
                engine.entry().id(),
                engine.slowness(nowMillis),
                engine.reportedSlowness(nowMillis),
                engine.callsInFlight(),
                others.calls(engine, nowMillis));
    }
}
