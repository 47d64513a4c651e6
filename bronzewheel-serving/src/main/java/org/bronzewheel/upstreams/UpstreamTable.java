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

/**
 * The upstreams that may get work.
 *
 * <p>An entry that is removed is gone at once, but for entries that lapsed while the platform was
 * away: their upstreams may live, and are kept until they had time to register again.
 */
public final class UpstreamTable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final long returnGraceMillis;
    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final Map<String, Long> lapsedUntilMillis = new HashMap<>();
    private final Set<Runnable> listeners = new HashSet<>();
    private final Announcements announcements = new Announcements();
    private boolean loaded;
    private long outageEndMillis = Long.MIN_VALUE / 2;
    private boolean outage;

    /**
     * Creates an empty table.
     *
     * @param returnGraceMillis the time that upstreams have to register again after the platform's
     *     return, in milliseconds
     */
    public UpstreamTable(long returnGraceMillis) {
        this.returnGraceMillis = returnGraceMillis;
        announcements.onLeaving(this::changed);
    }

    /**
     * Adds a listener that is told after each change.
     *
     * @param listener the listener
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns what upstreams said of themselves in their answers.
     *
     * @return the statements, for a while also of upstreams that are not known any more
     */
    public Announcements announcements() {
        return announcements;
    }

    /**
     * Returns what the upstreams of a service that take requests now take together.
     *
     * @param service the name of the service
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the requests a second from all routers; empty where one of them names no limit
     */
    public OptionalDouble serviceLimit(String service, long nowMillis) {
        List<Upstream> open =
                serving(service).stream().filter(u -> u.blockedMillis(nowMillis) == 0).toList();
        double sum = 0;
        for (Upstream upstream : open) {
            OptionalDouble limit = announcements.perSecond(upstream.entry().id());
            if (limit.isEmpty()) {
                return limit;
            }
            sum += limit.getAsDouble();
        }
        return open.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(sum);
    }

    /** Books that the platform does not answer. */
    public void platformUnreachable() {
        outage = true;
    }

    /**
     * Books that the platform answers.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void platformAnswered(long nowMillis) {
        if (outage) {
            outage = false;
            outageEndMillis = nowMillis;
        }
    }

    /**
     * Takes a complete list.
     *
     * @param entries all entries that the platform holds
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void replaceAll(Collection<UpstreamEntry> entries, long nowMillis) {
        loaded = true;
        Set<String> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            putQuietly(entry);
        }
        for (String id : List.copyOf(byId.keySet())) {
            if (!listed.contains(id)) {
                removeQuietly(id, nowMillis);
            }
        }
        changed();
    }

    /**
     * Takes a new or changed entry.
     *
     * @param entry the entry
     */
    public void put(UpstreamEntry entry) {
        putQuietly(entry);
        changed();
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id the id of its upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void remove(String id, long nowMillis) {
        removeQuietly(id, nowMillis);
        changed();
    }

    /**
     * Drops the entries that lapsed and did not come back in time, and the statements that are
     * over.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void expire(long nowMillis) {
        boolean dropped = false;
        for (Iterator<Map.Entry<String, Long>> it = lapsedUntilMillis.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<String, Long> lapsed = it.next();
            if (nowMillis >= lapsed.getValue()) {
                it.remove();
                drop(lapsed.getKey());
                dropped = true;
            }
        }
        if (dropped) {
            changed();
        }
        announcements.expire(byId.keySet(), nowMillis);
    }

    /**
     * Tells whether a complete list was taken.
     *
     * @return whether the table can be used
     */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns all known upstreams.
     *
     * @return the upstreams, leaving ones too
     */
    public List<Upstream> all() {
        return List.copyOf(byId.values());
    }

    /**
     * Returns the upstreams of a service that may get new work.
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
     * @return the upstream, also where it is leaving, or empty where it is unknown
     */
    public Optional<Upstream> known(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Finds an upstream that may get new work.
     *
     * @param id its id
     * @return the upstream, or empty where it is unknown or leaving
     */
    public Optional<Upstream> find(String id) {
        return Optional.ofNullable(byId.get(id)).filter(u -> !u.isLeaving());
    }

    private void putQuietly(UpstreamEntry entry) {
        lapsedUntilMillis.remove(entry.id());
        Upstream known = byId.get(entry.id());
        // An upstream that started again under its id knows nothing of what it did before.
        if (known == null || known.entry().startedMillis() != entry.startedMillis()) {
            byId.put(entry.id(), new Upstream(entry, announcements.accountOf(entry)));
            logger.atInfo().log(
                    "upstream in: id=%s service=%s address=%s leaving=%s",
                    entry.id(), entry.service(), entry.address(), entry.leaving());
        } else {
            if (entry.leaving() && !known.entry().leaving()) {
                logger.atInfo().log("upstream leaving: id=%s", entry.id());
            }
            known.update(entry);
        }
    }

    private void removeQuietly(String id, long nowMillis) {
        if (!byId.containsKey(id)) {
            return;
        }
        long keepUntilMillis = outageEndMillis + returnGraceMillis;
        if (nowMillis < keepUntilMillis && !byId.get(id).entry().leaving()) {
            lapsedUntilMillis.putIfAbsent(id, keepUntilMillis);
            return;
        }
        drop(id);
    }

    private void drop(String id) {
        byId.remove(id);
        logger.atInfo().log("upstream gone: id=%s", id);
    }

    private void changed() {
        byService.clear();
        for (Upstream upstream : byId.values()) {
            if (!upstream.isLeaving()) {
                byService
                        .computeIfAbsent(upstream.entry().service(), s -> new ArrayList<>())
                        .add(upstream);
            }
        }
        listeners.forEach(Runnable::run);
    }
}
