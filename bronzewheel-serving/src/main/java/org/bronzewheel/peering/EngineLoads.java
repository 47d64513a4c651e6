package org.bronzewheel.peering;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongToIntFunction;
import java.util.function.Supplier;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.wire.UpstreamLoads;

/** Exchanges the load on model engines between routers. */
public final class EngineLoads implements LoadExchange {
    /**
     * The maximum number of engines in a report, the most loaded ones. Of the control traffic of a
     * router, the other duties at 390 routers leave 4.6 KB/s; a report of 6 to 8 bytes an engine,
     * sent 14 times a second, takes at most 4.3 KB/s.
     */
    static final int MAX_ENGINES = 36;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CALLS = 100_000;
    private static final int MAX_PROMPT_TOKENS = 100_000_000;

    private final Supplier<List<Upstream>> engines;
    private final LongToIntFunction otherRouters;
    private final OtherRoutersLoad others;

    /**
     * Creates an exchange.
     *
     * @param engines the known model engines
     * @param otherRouters the number of the other live routers at a time in milliseconds of the
     *     steady clock
     * @param others receives the load of the other routers
     */
    public EngineLoads(
            Supplier<List<Upstream>> engines,
            LongToIntFunction otherRouters,
            OtherRoutersLoad others) {
        this.engines = engines;
        this.otherRouters = otherRouters;
        this.others = others;
    }

    @Override
    public Optional<UpstreamLoads> own() {
        UpstreamLoads.Builder report = UpstreamLoads.newBuilder();
        engines.get().stream()
                .filter(engine -> engine.callsInFlight() > 0)
                .sorted(
                        Comparator.comparingInt(Upstream::pendingPromptTokens)
                                .thenComparingInt(Upstream::callsInFlight)
                                .reversed())
                .limit(MAX_ENGINES)
                .forEach(
                        engine ->
                                report.addUpstreams(engine.loadKey())
                                        .addCalls(engine.callsInFlight())
                                        .addPromptTokens(
                                                Math.max(0, engine.pendingPromptTokens())));
        return Optional.of(report.build());
    }

    @Override
    public void received(UpstreamLoads loads, long nowMillis) {
        if (!isValid(loads)) {
            logger.atWarning().log(
                    "ignoring the load report of another router: a value is out of range");
            return;
        }
        others.beginReport(otherRouters.applyAsInt(nowMillis), nowMillis);
        for (int i = 0; i < loads.getUpstreamsCount(); i++) {
            others.add(
                    loads.getUpstreams(i), loads.getCalls(i), loads.getPromptTokens(i), nowMillis);
        }
    }

    private static boolean isValid(UpstreamLoads loads) {
        int engines = loads.getUpstreamsCount();
        return engines <= MAX_ENGINES
                && loads.getCallsCount() == engines
                && loads.getPromptTokensCount() == engines
                && loads.getCallsList().stream().allMatch(n -> n >= 0 && n <= MAX_CALLS)
                && loads.getPromptTokensList().stream()
                        .allMatch(n -> n >= 0 && n <= MAX_PROMPT_TOKENS);
    }
}
