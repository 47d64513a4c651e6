package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.bronzewheel.catalog.ServiceEntry;

/** The limits of cold upstreams, by the rates that the catalog gives for their services. */
final class ColdUpstreams {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Set<String> reportedIds = new HashSet<>();
    private Function<String, Optional<ServiceEntry>> services = name -> Optional.empty();

    /** Sets the lookup of services; without it, cold upstreams have no limit. */
    void setServices(Function<String, Optional<ServiceEntry>> lookup) {
        services = lookup;
    }

    /** Returns the limit of an upstream while it is cold, or empty if there is none. */
    Optional<ColdLimit> limit(Upstream upstream, long nowMillis) {
        long remainingMillis = upstream.coldTime().remainingMillis(nowMillis);
        return remainingMillis == 0
                ? Optional.empty()
                : limitedService(upstream)
                        .map(service -> new ColdLimit(remainingMillis, service.coldPerSecond()));
    }

    /** Records that the failure domain of an upstream is no longer evacuated. */
    void domainReturned(Upstream upstream, long nowMillis) {
        limitedService(upstream)
                .ifPresent(
                        service ->
                                upstream.coldTime()
                                        .domainReturned(service.coldStartMillis(), nowMillis));
    }

    private Optional<ServiceEntry> limitedService(Upstream upstream) {
        return services.apply(upstream.entry().service())
                .filter(service -> service.coldPerSecond() > 0);
    }

    /** Logs the upstreams that have become cold or warm since the last call. */
    void report(Collection<Upstream> upstreams, long nowMillis) {
        Set<String> coldIds = new HashSet<>();
        for (Upstream upstream : upstreams) {
            String id = upstream.entry().id();
            Optional<ColdLimit> limit = limit(upstream, nowMillis);
            limit.ifPresent(cold -> coldIds.add(id));
            if (limit.isPresent() && reportedIds.add(id)) {
                logger.atInfo().log(
                        "upstream cold: id=%s remainingMillis=%d perSecond=%s",
                        id, limit.get().remainingMillis(), limit.get().perSecond());
            }
        }
        for (String id : Set.copyOf(reportedIds)) {
            if (!coldIds.contains(id)) {
                reportedIds.remove(id);
                logger.atInfo().log("upstream warm: id=%s", id);
            }
        }
    }

    /** Returns the number of upstreams that were cold at the last report. */
    int size() {
        return reportedIds.size();
    }
}
