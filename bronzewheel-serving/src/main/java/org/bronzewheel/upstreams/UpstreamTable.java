package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import org.bronzewheel.catalog.ServiceEntry;

/**
 * The table of the published upstreams.
 *
 * <p>A removed entry is dropped at once, except entries that may have expired because the platform
 * was unreachable: their upstreams may still run, so they are kept until they have had time to
 * register again.
 */
public final class UpstreamTable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final long returnGraceMillis;
    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final Map<String, Long> graceUntilMillis = new HashMap<>();
    private final Set<Runnable> listeners = new HashSet<>();
    private final Announcements announcements = new Announcements();
    private final ClosedLives closedLives = new ClosedLives();
    private final ColdUpstreams cold = new ColdUpstreams();
    private final EvacuatedDomains evacuated;
    private final PlatformOutage outage;
    private boolean loaded;
    private long graceStartMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty table that expects entries to expire in any outage of the platform.
     *
     * @param returnGraceMillis the time that upstreams have to register again after an outage of
     *     the platform, in milliseconds
     */
    public UpstreamTable(long returnGraceMillis) {
        this(returnGraceMillis, 0);
    }

    /**
     * Creates an empty table.
     *
     * @param returnGraceMillis the time that upstreams have to register again after an outage of
     *     the platform, in milliseconds
     * @param expiryMillis the shortest outage in which the entry of a running upstream can expire,
     *     in milliseconds
     */
    public UpstreamTable(long returnGraceMillis, long expiryMillis) {
        this.returnGraceMillis = returnGraceMillis;
        this.evacuated = new EvacuatedDomains(returnGraceMillis);
        this.outage = new PlatformOutage(expiryMillis);
        announcements.onLeaving(this::changed);
    }

    /**
     * Adds a listener that is called after each change.
     *
     * @param listener the listener
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns the announcements of the upstreams.
     *
     * @return the announcements, for a while also those of removed upstreams
     */
    public Announcements announcements() {
        return announcements;
    }

    /**
     * Sets the lookup of services, whose rates limit cold upstreams.
     *
     * @param services finds a service of the current catalog by its name
     */
    public void setServices(Function<String, Optional<ServiceEntry>> services) {
        cold.setServices(services);
    }

    /**
     * Returns the limit of an upstream while it is cold.
     *
     * @param id the id of the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the limit, or empty if the upstream is unknown or warm or has no limit when cold
     */
    public Optional<ColdLimit> coldLimit(String id, long nowMillis) {
        return known(id).flatMap(upstream -> cold.limit(upstream, nowMillis));
    }

    /**
     * Returns the number of cold upstreams that have a limit for that reason.
     *
     * @return the number at the last call of {@link #expire}
     */
    public int coldUpstreams() {
        return cold.size();
    }

    /**
     * Returns the limit of an upstream: the smaller one of what it announced and its limit while it
     * is cold.
     *
     * @param id the id of the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the requests per second from all routers together; empty without a limit
     */
    public OptionalDouble perSecond(String id, long nowMillis) {
        return Limits.smaller(
                announcements.perSecond(id),
                coldLimit(id, nowMillis)
                        .map(limit -> OptionalDouble.of(limit.perSecond()))
                        .orElse(OptionalDouble.empty()));
    }

    /**
     * Returns the total limit of the upstreams of a service that are not paused.
     *
     * @param service the name of the service
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the requests per second from all routers; empty if one of them has no limit
     */
    public OptionalDouble serviceLimit(String service, long nowMillis) {
        List<Upstream> open =
                serving(service).stream().filter(u -> u.blockedMillis(nowMillis) == 0).toList();
        double sum = 0;
        for (Upstream upstream : open) {
            OptionalDouble limit = perSecond(upstream.entry().id(), nowMillis);
            if (limit.isEmpty()) {
                return limit;
            }
            sum += limit.getAsDouble();
        }
        return open.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(sum);
    }

    /**
     * Records that the platform did not answer a request.
     *
     * @param sentMillis when the request was sent, in milliseconds of the steady clock
     */
    public void platformUnreachable(long sentMillis) {
        outage.failed(sentMillis);
    }

    /**
     * Records that the platform answers.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void platformAnswered(long nowMillis) {
        // Nobody can write in an outage, even if it is too short for an entry to expire.
        if (outage.isOngoing()) {
            evacuated.outageEnded(outage.unavailableMillis());
        }
        if (outage.answered(nowMillis)) {
            restartGrace(outage.unavailableMillis());
        }
    }

    /** Records that a complete list will be read; no evacuation ends by its grace before. */
    public void snapshotDue() {
        evacuated.snapshotDue();
    }

    private void restartGrace(long startMillis) {
        graceStartMillis = startMillis;
        graceUntilMillis.replaceAll((id, until) -> startMillis + returnGraceMillis);
    }

    /**
     * Records that the platform has returned from a copy, which may lack entries of running
     * upstreams and list upstreams that have left.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void platformReturned(long nowMillis) {
        restartGrace(nowMillis);
        evacuated.platformReturned(nowMillis);
        closedLives.returned(byId.values(), nowMillis);
    }

    /**
     * Returns the number of upstreams that are no longer listed and may register again.
     *
     * @return the number
     */
    public int awaitingReturn() {
        return graceUntilMillis.size();
    }

    /**
     * Returns the number of lives that get no new work even if the platform lists them as serving.
     *
     * @return the number
     */
    public int closedByReturn() {
        return closedLives.size();
    }

    /**
     * Replaces the table by a complete list in which no failure domain is evacuated.
     *
     * @param entries all entries that the platform holds
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void replaceAll(Collection<UpstreamEntry> entries, long nowMillis) {
        replaceAll(entries, Set.of(), nowMillis);
    }

    /**
     * Replaces the table by a complete list.
     *
     * @param entries all entries that the platform holds
     * @param evacuatedDomains the failure domains that the platform lists as evacuated
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void replaceAll(
            Collection<UpstreamEntry> entries, Set<String> evacuatedDomains, long nowMillis) {
        loaded = true;
        Set<String> listedIds = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listedIds.add(entry.id());
            putWithoutNotify(entry, /* snapshot= */ true, nowMillis);
        }
        for (String id : List.copyOf(byId.keySet())) {
            if (!listedIds.contains(id)) {
                removeWithoutNotify(id, nowMillis);
            }
        }
        evacuatedDomains.forEach(this::evacuateWithoutNotify);
        evacuated
                .missing(evacuatedDomains, nowMillis)
                .forEach(domain -> endEvacuation(domain, nowMillis));
        changed();
    }

    /**
     * Excludes the upstreams of a failure domain from everything new.
     *
     * @param domain the failure domain
     */
    public void evacuate(String domain) {
        evacuateWithoutNotify(domain);
        changed();
    }

    /**
     * Ends the evacuation of a failure domain. Its upstreams count as cold, as their entries may
     * not say so yet.
     *
     * @param domain the failure domain
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void domainReturned(String domain, long nowMillis) {
        endEvacuation(domain, nowMillis);
        changed();
    }

    private void evacuateWithoutNotify(String domain) {
        if (evacuated.add(domain)) {
            logger.atWarning().log(
                    "failure domain evacuated: domain=%s upstreams=%d",
                    domain, upstreamsIn(domain).size());
        }
    }

    private void endEvacuation(String domain, long nowMillis) {
        if (evacuated.remove(domain)) {
            List<Upstream> returned = upstreamsIn(domain);
            returned.forEach(upstream -> cold.domainReturned(upstream, nowMillis));
            logger.atWarning().log(
                    "failure domain returned: domain=%s upstreams=%d", domain, returned.size());
        }
    }

    private List<Upstream> upstreamsIn(String domain) {
        return byId.values().stream()
                .filter(upstream -> upstream.entry().failureDomain().equals(domain))
                .toList();
    }

    /**
     * Returns the number of evacuated failure domains.
     *
     * @return the number
     */
    public int evacuatedDomains() {
        return evacuated.size();
    }

    /**
     * Adds or updates an entry.
     *
     * @param entry the entry, newly written
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void put(UpstreamEntry entry, long nowMillis) {
        putWithoutNotify(entry, /* snapshot= */ false, nowMillis);
        changed();
    }

    /**
     * Removes an entry.
     *
     * @param id the id of its upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void remove(String id, long nowMillis) {
        removeWithoutNotify(id, nowMillis);
        changed();
    }

    /**
     * Drops entries whose grace period is over, and expired statements, and ends the evacuations
     * that the platform lost. No grace period ends while the platform is unreachable, as nobody can
     * write to it then.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void expire(long nowMillis) {
        boolean dropped = false;
        for (Iterator<Map.Entry<String, Long>> it = graceUntilMillis.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<String, Long> expiring = it.next();
            if (!outage.isOngoing() && nowMillis >= expiring.getValue()) {
                it.remove();
                drop(expiring.getKey(), nowMillis);
                dropped = true;
            }
        }
        if (!outage.isOngoing()) {
            List<String> lost = evacuated.expired(nowMillis);
            lost.forEach(domain -> endEvacuation(domain, nowMillis));
            dropped |= !lost.isEmpty();
        }
        if (dropped) {
            changed();
        }
        announcements.expire(byId.keySet(), nowMillis);
        closedLives.expire(byId, nowMillis);
        cold.report(byId.values(), nowMillis);
    }

    /**
     * Returns whether a complete list has been received.
     *
     * @return whether the table can be used
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns all known upstreams.
     *
     * @return the upstreams, including leaving ones
     */
    public List<Upstream> all() {
        return List.copyOf(byId.values());
    }

    /**
     * Returns the upstreams of a service that are neither leaving nor in an evacuated domain.
     *
     * @param service the name of the service
     * @return the upstreams, whatever their health
     */
    public List<Upstream> serving(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Finds a known upstream.
     *
     * @param id its id
     * @return the upstream, even if it gets nothing new, or empty if it is unknown
     */
    public Optional<Upstream> known(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Finds an upstream that is neither leaving nor in an evacuated domain.
     *
     * @param id its id
     * @return the upstream, or empty if it is unknown or gets nothing new
     */
    public Optional<Upstream> find(String id) {
        return known(id).filter(this::isServing);
    }

    /**
     * Returns whether an upstream accepts a request now. Call this right before sending.
     *
     * @param to the upstream, with the start time of the process that is meant
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it is not leaving, paused or in an evacuated domain
     */
    public boolean takesNew(UpstreamEntry to, long nowMillis) {
        return !evacuated.contains(to.failureDomain()) && announcements.takesNew(to, nowMillis);
    }

    private boolean isServing(Upstream upstream) {
        return !upstream.isLeaving() && !evacuated.contains(upstream.entry().failureDomain());
    }

    private void putWithoutNotify(UpstreamEntry published, boolean snapshot, long nowMillis) {
        UpstreamEntry entry = closedLives.apply(published);
        graceUntilMillis.remove(entry.id());
        Upstream known = byId.get(entry.id());
        // A restart under the same id discards all observations of the previous process.
        if (known == null || known.entry().startedMillis() != entry.startedMillis()) {
            Upstream added = new Upstream(entry, announcements.stateOf(entry));
            added.coldTime().entryWritten(entry.coldRemainingMillis(), nowMillis);
            byId.put(entry.id(), added);
            logger.atInfo().log(
                    "upstream added: id=%s service=%s address=%s leaving=%s",
                    entry.id(), entry.service(), entry.address(), entry.leaving());
            return;
        }
        if (entry.leaving() && !known.entry().leaving()) {
            logger.atInfo().log("upstream leaving: id=%s", entry.id());
        }
        if (!snapshot) {
            known.coldTime().entryWritten(entry.coldRemainingMillis(), nowMillis);
        } else if (entry.coldRemainingMillis() != known.entry().coldRemainingMillis()) {
            known.coldTime().entryRead(entry.coldRemainingMillis(), nowMillis);
        }
        known.update(entry);
    }

    private void removeWithoutNotify(String id, long nowMillis) {
        if (!byId.containsKey(id)) {
            return;
        }
        long keepUntilMillis = graceStartMillis + returnGraceMillis;
        if (nowMillis < keepUntilMillis && !byId.get(id).entry().leaving()) {
            graceUntilMillis.putIfAbsent(id, keepUntilMillis);
            return;
        }
        drop(id, nowMillis);
    }

    private void drop(String id, long nowMillis) {
        closedLives.gone(byId.remove(id).entry(), nowMillis);
        logger.atInfo().log("upstream gone: id=%s", id);
    }

    private void changed() {
        byService.clear();
        for (Upstream upstream : byId.values()) {
            if (isServing(upstream)) {
                byService
                        .computeIfAbsent(upstream.entry().service(), s -> new ArrayList<>())
                        .add(upstream);
            }
        }
        listeners.forEach(Runnable::run);
    }
}
