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

/** Exchanges the load of requests on model engines and plain upstreams between routers. */
public final class LoadReporter implements LoadExchange {
    /**
     * The maximum number of upstreams in a report, the most loaded ones. Of the control traffic of
     * a router, the other duties at 390 routers leave 3 to 4.6 KB/s; a report of 6 to 8 bytes an
     * upstream, sent 14 times a second, takes at most 2.9 KB/s.
     */
    static final int MAX_UPSTREAMS = 24;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CALLS = 100_000;
    private static final int MAX_PROMPT_TOKENS = 100_000_000;

    private final Supplier<List<Upstream>> upstreams;
    private final LongToIntFunction otherRouters;
    private final OtherRoutersLoad others;
    private volatile int reportBytes;

    /**
     * Creates an exchange.
     *
     * @param upstreams the known upstreams
     * @param otherRouters the number of the other live routers at a time in milliseconds of the
     *     steady clock
     * @param others receives the load of the other routers
     */
    public LoadReporter(
            Supplier<List<Upstream>> upstreams,
            LongToIntFunction otherRouters,
            OtherRoutersLoad others) {
        this.upstreams = upstreams;
        this.otherRouters = otherRouters;
        this.others = others;
    }

    @Override
    public Optional<UpstreamLoads> own() {
        UpstreamLoads.Builder report = UpstreamLoads.newBuilder();
        upstreams.get().stream()
                .filter(upstream -> upstream.callsInFlight() > 0)
                .sorted(
                        Comparator.comparingInt(Upstream::pendingPromptTokens)
                                .thenComparingInt(Upstream::callsInFlight)
                                .reversed())
                .limit(MAX_UPSTREAMS)
                .forEach(
                        upstream ->
                                report.addUpstreams(upstream.loadKey())
                                        .addCalls(upstream.callsInFlight())
                                        .addPromptTokens(
                                                Math.max(0, upstream.pendingPromptTokens())));
        UpstreamLoads own = report.build();
        reportBytes = own.getSerializedSize();
        return Optional.of(own);
    }

    /**
     * Returns the size of the last report of this router.
     *
     * @return the size in bytes; 0 before the first report
     */
    public int reportBytes() {
        return reportBytes;
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
        int count = loads.getUpstreamsCount();
        return count <= MAX_UPSTREAMS
                && loads.getCallsCount() == count
                && loads.getPromptTokensCount() == count
                && loads.getCallsList().stream().allMatch(n -> n >= 0 && n <= MAX_CALLS)
                && loads.getPromptTokensList().stream()
                        .allMatch(n -> n >= 0 && n <= MAX_PROMPT_TOKENS);
    }
}
