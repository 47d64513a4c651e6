package org.bronzewheel.serving;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.upstreams.Prompt;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamSelector;

/** The upstreams that one request may still be sent to, and the choice among them. */
final class RequestTargets {
    private static final int LEAST_CONNECTIONS = 1;

    private final ServingContext parts;
    private final Set<String> tried = new HashSet<>();

    RequestTargets(ServingContext parts) {
        this.parts = parts;
    }

    /** Books that an upstream has the request; it does not get it again. */
    void tried(Upstream upstream) {
        tried.add(upstream.entry().id());
    }

    /** Lets all upstreams have the request again, as it never ran anywhere. */
    void forgetTried() {
        tried.clear();
    }

    /** Chooses among the open upstreams of a service. */
    Optional<Upstream> choose(String service, Prompt prompt, long nowMillis) {
        List<Upstream> candidates = open(service);
        if (!isEngine(service)) {
            return UpstreamSelector.selectForService(
                    candidates, tried, parts.failureDomain(), nowMillis);
        }
        return parts.engines().select(candidates, tried, prompt, parts.failureDomain(), nowMillis);
    }

    /**
     * When the upstreams of a service take requests again.
     *
     * @param firstMillis the time until the first one does, in milliseconds
     * @param lastMillis the time until all do, in milliseconds
     */
    record Opening(long firstMillis, long lastMillis) {}

    /** Returns the upstreams that have a connection and, as far as is known, a permit left. */
    List<Upstream> open(String service) {
        return reachable(service).filter(upstream -> unavailableMillis(upstream) == 0).toList();
    }

    /** Returns the upstream that has a permit first, where that is soon enough. */
    Optional<Upstream> firstToOpen(String service, long longestMillis) {
        return reachable(service)
                .filter(upstream -> unavailableMillis(upstream) <= longestMillis)
                .min(Comparator.comparingLong(this::unavailableMillis));
    }

    /** Tells whether an upstream can take the request at once, without a permit. */
    boolean isOneFree(String service) {
        return open(service).stream().anyMatch(upstream -> !needsPermit(upstream));
    }

    boolean needsPermit(Upstream upstream) {
        return parts.permits().isNeeded(PermitKind.SEND, upstream.entry().id());
    }

    private Stream<Upstream> reachable(String service) {
        int share = connectionShare(service);
        long nowMillis = parts.loop().nowMillis();
        return parts.upstreams().serving(service).stream()
                .filter(upstream -> upstream.callsInFlight() < share)
                .filter(upstream -> !upstream.isMisdirected())
                .filter(upstream -> upstream.blockedMillis(nowMillis) == 0)
                .filter(upstream -> !tried.contains(upstream.entry().id()));
    }

    /** Tells whether an upstream of a service has no pause, or one that is over soon enough. */
    boolean opensWithin(String service, long millis) {
        long nowMillis = parts.loop().nowMillis();
        return parts.upstreams().serving(service).stream()
                .anyMatch(upstream -> upstream.blockedMillis(nowMillis) <= millis);
    }

    /** Returns when the upstreams of a service may have permits again and end their pauses. */
    Opening opening(String service) {
        long nowMillis = parts.loop().nowMillis();
        LongSummaryStatistics opening =
                parts.upstreams().serving(service).stream()
                        .mapToLong(
                                upstream ->
                                        Math.max(
                                                unavailableMillis(upstream),
                                                upstream.blockedMillis(nowMillis)))
                        .summaryStatistics();
        return opening.getCount() == 0
                ? new Opening(0, 0)
                : new Opening(opening.getMin(), opening.getMax());
    }

    private long unavailableMillis(Upstream upstream) {
        return parts.permits().unavailableMillis(PermitKind.SEND, upstream.entry().id());
    }

    /** Returns the connections to one upstream that this router may have, as all share its cap. */
    int connectionShare(String service) {
        return entry(service)
                .filter(entry -> entry.maxConnections() > 0)
                .map(entry -> entry.maxConnections() / parts.budget().routers())
                .map(share -> Math.max(LEAST_CONNECTIONS, share))
                .orElse(Integer.MAX_VALUE);
    }

    boolean isEngine(String service) {
        return entry(service).flatMap(ServiceEntry::enginePool).isPresent();
    }

    private Optional<ServiceEntry> entry(String service) {
        return parts.catalog().current().flatMap(catalog -> catalog.service(service));
    }
}
