package org.bronzewheel.upstreams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The failure domains to whose upstreams nothing more is sent.
 *
 * <p>A platform that returns from a copy may have lost the request for an evacuation, which the
 * operator writes again a moment later. So a domain that is missing in a snapshot stays evacuated
 * until the writers have had that time.
 */
final class EvacuatedDomains {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long returnGraceMillis;
    private final Set<String> domains = new HashSet<>();
    private final Map<String, Long> graceUntilMillis = new HashMap<>();
    private long keepUntilMillis = NEVER;
    private boolean snapshotDue;
    private boolean returnedSinceSnapshot;

    /**
     * Creates an instance without evacuated domains.
     *
     * @param returnGraceMillis the time that writers have to write again after the platform has
     *     returned from a copy, in milliseconds
     */
    EvacuatedDomains(long returnGraceMillis) {
        this.returnGraceMillis = returnGraceMillis;
    }

    /** Returns whether a domain is evacuated. */
    boolean contains(String domain) {
        return domains.contains(domain);
    }

    /** Returns the number of evacuated domains. */
    int size() {
        return domains.size();
    }

    /**
     * Records the request for an evacuation.
     *
     * @return whether the domain was not evacuated before
     */
    boolean add(String domain) {
        graceUntilMillis.remove(domain);
        return domains.add(domain);
    }

    /**
     * Records the end of an evacuation.
     *
     * @return whether the domain was evacuated before
     */
    boolean remove(String domain) {
        graceUntilMillis.remove(domain);
        return domains.remove(domain);
    }

    /** Records that the platform has returned from a copy. */
    void platformReturned(long nowMillis) {
        snapshotDue = true;
        returnedSinceSnapshot = true;
        restartGrace(nowMillis);
    }

    /** Records that a complete list will be read, which may list evacuations again. */
    void snapshotDue() {
        snapshotDue = true;
    }

    /**
     * Records the end of an outage, in which nobody could write again what a copy lacked. It has no
     * effect unless a grace period is running or the state of a copy has not been read yet.
     *
     * @param startMillis when the platform was last known to be unavailable
     */
    void outageEnded(long startMillis) {
        if (returnedSinceSnapshot || !graceUntilMillis.isEmpty()) {
            restartGrace(startMillis);
        }
    }

    private void restartGrace(long startMillis) {
        keepUntilMillis = Math.max(keepUntilMillis, startMillis + returnGraceMillis);
        graceUntilMillis.replaceAll((domain, until) -> keepUntilMillis);
    }

    /**
     * Returns the evacuated domains whose evacuation ends because a complete list lacks them; after
     * a return from a copy they first get a grace period.
     *
     * @param listed the domains that the platform lists as evacuated
     */
    List<String> missing(Set<String> listed, long nowMillis) {
        snapshotDue = false;
        returnedSinceSnapshot = false;
        List<String> missing = domains.stream().filter(d -> !listed.contains(d)).sorted().toList();
        if (nowMillis >= keepUntilMillis) {
            return missing;
        }
        missing.forEach(domain -> graceUntilMillis.putIfAbsent(domain, keepUntilMillis));
        return List.of();
    }

    /** Returns the evacuated domains whose grace period is over; none while a snapshot is due. */
    List<String> expired(long nowMillis) {
        if (snapshotDue) {
            return List.of();
        }
        return graceUntilMillis.entrySet().stream()
                .filter(domain -> nowMillis >= domain.getValue())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
