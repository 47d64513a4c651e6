package org.bronzewheel.catalog;

import java.util.Optional;

/**
 * The catalog in force and the age of the evidence that it is the newest.
 *
 * <p>Keys may be honoured only while the evidence is young: a machine that cannot learn of a
 * revocation must not serve a revoked key. Ages are the larger of the times that passed by the
 * steady clock, which stops while a machine is suspended, and by the time of day, which may jump.
 */
public final class CatalogState {
    private final long leaseMillis;
    private Catalog catalog;
    private boolean confirmed;
    private ClockReading confirmedAt = new ClockReading(0, 0);

    /**
     * Creates a state without a catalog.
     *
     * @param leaseMillis the largest age of the evidence at which keys are honoured, in
     *     milliseconds
     */
    public CatalogState(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Puts a catalog in force unless a newer one is.
     *
     * @param offered the catalog
     * @return whether it is now in force and was not before
     */
    public boolean applyIfNewer(Catalog offered) {
        if (catalog != null && offered.version() <= catalog.version()) {
            return false;
        }
        catalog = offered;
        return true;
    }

    /**
     * Books evidence that the catalog in force is the newest.
     *
     * @param version the newest version by that evidence
     * @param sentAt the time at which the question was sent whose answer is the evidence
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
     * Returns the catalog in force.
     *
     * @return the catalog, or empty before the first one
     */
    public Optional<Catalog> current() {
        return Optional.ofNullable(catalog);
    }

    /**
     * Returns the age of the evidence.
     *
     * @param now the time
     * @return the age in milliseconds; the largest number where there is no evidence
     */
    public long ageMillis(ClockReading now) {
        return confirmed ? now.millisSince(confirmedAt) : Long.MAX_VALUE;
    }

    /**
     * Tells whether keys may be honoured.
     *
     * @param now the time
     * @return whether the evidence is young enough
     */
    public boolean acceptsKeys(ClockReading now) {
        return ageMillis(now) <= leaseMillis;
    }
}
