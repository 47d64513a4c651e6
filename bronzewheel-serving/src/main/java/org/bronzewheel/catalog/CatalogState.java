package org.bronzewheel.catalog;

import java.util.Optional;

/**
 * The current catalog and the time at which it was last confirmed to be the newest.
 *
 * <p>API keys are accepted only while that confirmation is recent, because a machine that cannot
 * learn of a revocation must not accept a revoked key. An age is the larger of the elapsed times on
 * the monotonic clock, which stops while the machine is suspended, and on the wall clock, which may
 * jump.
 */
public final class CatalogState {
    private final long leaseMillis;
    private Catalog catalog;
    private boolean confirmed;
    private ClockReading confirmedAt = new ClockReading(0, 0);

    /**
     * Creates a state without a catalog.
     *
     * @param leaseMillis the maximum age of the confirmation at which keys are accepted, in
     *     milliseconds
     */
    public CatalogState(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Makes a catalog the current one unless the current one is as new or newer. One of the same
     * version is applied if it tells how callers are admitted and the current one does not.
     *
     * @param candidate the catalog
     * @return whether the catalog was applied
     */
    public boolean applyIfNewer(Catalog candidate) {
        if (catalog != null && !supersedesCurrent(candidate)) {
            return false;
        }
        catalog = candidate;
        return true;
    }

    private boolean supersedesCurrent(Catalog candidate) {
        boolean completes = candidate.access().isKnown() && !catalog.access().isKnown();
        return candidate.version() > catalog.version()
                || (candidate.version() == catalog.version() && completes);
    }

    /**
     * Records a confirmation that the current catalog is the newest.
     *
     * @param version the newest version according to the response
     * @param sentAt the time at which the request for that response was sent
     */
    public void confirm(long version, ClockReading sentAt) {
        if (catalog == null || catalog.version() < version) {
            return;
        }
        if (!confirmed || sentAt.isAfter(confirmedAt)) {
            confirmed = true;
            confirmedAt = sentAt;
        }
    }

    /**
     * Returns the current catalog.
     *
     * @return the catalog, or empty before the first one is applied
     */
    public Optional<Catalog> current() {
        return Optional.ofNullable(catalog);
    }

    /**
     * Returns whether requests are delayed and shed by their cost to callers.
     *
     * @return whether the current catalog gives workspaces different priorities
     */
    public boolean shedsByCost() {
        return catalog != null && catalog.ranks().distinguishWorkspaces();
    }

    /**
     * Returns the age of the last confirmation.
     *
     * @param now the current time
     * @return the age in milliseconds, or {@link Long#MAX_VALUE} if there is no confirmation
     */
    public long ageMillis(ClockReading now) {
        return confirmed ? now.millisSince(confirmedAt) : Long.MAX_VALUE;
    }

    /**
     * Returns whether API keys may be accepted.
     *
     * @param now the current time
     * @return whether the last confirmation is within the lease
     */
    public boolean acceptsKeys(ClockReading now) {
        return ageMillis(now) <= leaseMillis;
    }
}
