package org.bronzewheel.serving;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.upstreams.Prompt;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamSelector;

/** The upstreams that one request may still be sent to, and the selection among them. */
final class RequestTargets {
    private static final int MIN_CONNECTIONS = 1;

    private final ServingContext context;
    private final Set<String> tried = new HashSet<>();
    private final Set<String> neverRan = new HashSet<>();

    RequestTargets(ServingContext context) {
        this.context = context;
    }

    /** Records that the request was sent to an upstream, which excludes it from now on. */
    void markTried(Upstream upstream) {
        tried.add(upstream.entry().id());
    }

    /** Records that the request certainly did not run at an upstream it was sent to. */
    void markNeverRan(Upstream upstream) {
        neverRan.add(upstream.entry().id());
    }

    /** Allows all upstreams again. */
    void allowAll() {
        tried.clear();
        neverRan.clear();
    }

    /**
     * Allows the upstreams again at which the request certainly did not run. Two runs at one
     * upstream would have the same id, so that their answers could not be told apart.
     */
    void allowWhereNeverRan() {
        tried.removeAll(neverRan);
        neverRan.clear();
    }

    /** Returns whether the service has an upstream at which the request has not run so far. */
    boolean hasOtherThanTried(String service) {
        return context.upstreams().serving(service).stream()
                .map(upstream -> upstream.entry().id())
                .anyMatch(id -> !tried.contains(id) || neverRan.contains(id));
    }

    /** Chooses among the available upstreams of a service. */
    Optional<Upstream> choose(String service, Prompt prompt, long nowMillis) {
        return choose(service, available(service), prompt, nowMillis);
    }

    /** Chooses among the upstreams that can accept the request immediately and without a permit. */
    Optional<Upstream> chooseWithoutPermit(String service, Prompt prompt, long nowMillis) {
        return choose(service, availableWithoutPermit(service), prompt, nowMillis);
    }

    private Optional<Upstream> choose(
            String service, List<Upstream> candidates, Prompt prompt, long nowMillis) {
        if (!isEngine(service)) {
            return UpstreamSelector.selectForService(
                    candidates,
                    tried,
                    context.failureDomain(),
                    context.engines().others(),
                    nowMillis);
        }
        return context.engines()
                .select(candidates, tried, prompt, context.failureDomain(), nowMillis);
    }

    /**
     * When the upstreams of a service accept requests again.
     *
     * @param firstMillis the time until the first one does, in milliseconds
     * @param lastMillis the time until all do, in milliseconds
     */
    record Availability(long firstMillis, long lastMillis) {}

    /** Returns the upstreams with a free connection and, as far as known, a free permit. */
    List<Upstream> available(String service) {
        return reachable(service).filter(upstream -> unavailableMillis(upstream) == 0).toList();
    }

    /** Returns the upstream with the earliest permit, if that is soon enough. */
    Optional<Upstream> firstAvailable(String service, long maxWaitMillis) {
        return reachable(service)
                .filter(upstream -> unavailableMillis(upstream) <= maxWaitMillis)
                .min(Comparator.comparingLong(this::unavailableMillis));
    }

    /** Returns the upstreams that can accept the request immediately and without a permit. */
    List<Upstream> availableWithoutPermit(String service) {
        return available(service).stream().filter(upstream -> !needsPermit(upstream)).toList();
    }

    boolean needsPermit(Upstream upstream) {
        return context.permits().isNeeded(PermitKind.SEND, upstream.entry().id());
    }

    private Stream<Upstream> reachable(String service) {
        int share = connectionShare(service);
        long nowMillis = context.loop().nowMillis();
        return context.upstreams().serving(service).stream()
                .filter(upstream -> upstream.callsInFlight() < share)
                .filter(upstream -> !upstream.isMisdirected())
                .filter(upstream -> upstream.blockedMillis(nowMillis) == 0)
                .filter(upstream -> !tried.contains(upstream.entry().id()));
    }

    /** Returns whether an upstream of a service is not paused, or only for a short enough time. */
    private boolean opensWithin(String service, long millis) {
        long nowMillis = context.loop().nowMillis();
        return context.upstreams().serving(service).stream()
                .anyMatch(upstream -> upstream.blockedMillis(nowMillis) <= millis);
    }

    /**
     * Returns whether each stage service of a route has an upstream, and the service of the request
     * has one that is not paused or opens within the time that the stages take.
     */
    boolean canServe(ServiceRoute route, String service, long stagesMillis) {
        return opensWithin(service, stagesMillis)
                && route.stages().stream()
                        .noneMatch(step -> context.upstreams().serving(step.service()).isEmpty());
    }

    /** Returns when the upstreams of a service may have permits again and their pauses end. */
    Availability availability(String service) {
        long nowMillis = context.loop().nowMillis();
        LongSummaryStatistics availability =
                context.upstreams().serving(service).stream()
                        .mapToLong(
                                upstream ->
                                        Math.max(
                                                unavailableMillis(upstream),
                                                upstream.blockedMillis(nowMillis)))
                        .summaryStatistics();
        return availability.getCount() == 0
                ? new Availability(0, 0)
                : new Availability(availability.getMin(), availability.getMax());
    }

    private long unavailableMillis(Upstream upstream) {
        return context.permits().unavailableMillis(PermitKind.SEND, upstream.entry().id());
    }

    /**
     * Returns how many connections to one upstream this router may have; all routers share its cap.
     */
    int connectionShare(String service) {
        return entry(service)
                .filter(entry -> entry.maxConnections() > 0)
                .map(entry -> entry.maxConnections() / context.budget().routers())
                .map(share -> Math.max(MIN_CONNECTIONS, share))
                .orElse(Integer.MAX_VALUE);
    }

    boolean isEngine(String service) {
        return entry(service).flatMap(ServiceEntry::enginePool).isPresent();
    }

    private Optional<ServiceEntry> entry(String service) {
        return context.catalog().current().flatMap(catalog -> catalog.service(service));
    }
}
