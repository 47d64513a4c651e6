package org.bronzewheel.published;

import org.bronzewheel.catalog.CatalogProgress;
import org.bronzewheel.catalog.ClockReading;

/**
 * Decides whether a response of the platform confirms the current catalog although the platform may
 * have returned from a copy.
 *
 * <p>The copy may lack a catalog that took an API key away, which the operator writes again a
 * moment later. So a response of the new epoch confirms nothing if its request was sent within the
 * settling time, or while the platform publishes an older catalog than a router is known to act on.
 */
final class ReturnSettlement {
    /** The time that the platform's writers have to write again; upstreams get the same. */
    static final long SETTLING_MILLIS = 2_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long epoch = PublishedPosition.UNKNOWN_EPOCH;
    private long settledAtMillis = NEVER;
    private long ownSettledAtMillis = NEVER;
    private long peerEpoch = PublishedPosition.UNKNOWN_EPOCH;
    private long peerSettledAtMillis = NEVER;
    private long publishedVersion;
    private long actingVersion;

    /**
     * Returns the newest epoch of the platform that this router has seen.
     *
     * @return the epoch, or {@link PublishedPosition#UNKNOWN_EPOCH}
     */
    long epoch() {
        return epoch;
    }

    /**
     * Records a newer epoch.
     *
     * @param newer the epoch
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether the platform has returned from a copy: this router or a peer had seen an
     *     earlier epoch
     */
    boolean observe(long newer, long nowMillis) {
        boolean hasPeerBehind = peerEpoch != PublishedPosition.UNKNOWN_EPOCH && peerEpoch < newer;
        boolean returned = epoch != PublishedPosition.UNKNOWN_EPOCH || hasPeerBehind;
        epoch = newer;
        if (returned) {
            ownSettledAtMillis = nowMillis + SETTLING_MILLIS;
            settledAtMillis = ownSettledAtMillis;
            publishedVersion = 0;
        }
        return returned;
    }

    /**
     * Records what a peer knows of the published catalog. It may have seen a return that this
     * router, started since, has not.
     *
     * @param progress the progress of the peer
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void peerReported(CatalogProgress progress, long nowMillis) {
        actsOn(progress.version());
        if (progress.epoch() > peerEpoch) {
            peerEpoch = progress.epoch();
            peerSettledAtMillis = NEVER;
        }
        if (progress.epoch() == peerEpoch && progress.settlingMillis() > 0) {
            long leftMillis = Math.min(progress.settlingMillis(), SETTLING_MILLIS);
            peerSettledAtMillis = Math.max(peerSettledAtMillis, nowMillis + leftMillis);
        }
        boolean isBehind =
                progress.epoch() != PublishedPosition.UNKNOWN_EPOCH && progress.epoch() < epoch;
        // Counts once, because a peer may be cut off from the platform for long.
        if (isBehind && settledAtMillis == NEVER) {
            settledAtMillis = nowMillis + SETTLING_MILLIS;
        }
    }

    /**
     * Records the version of the catalog that a router acts on.
     *
     * @param version the version
     */
    void actsOn(long version) {
        actingVersion = Math.max(actingVersion, version);
    }

    /**
     * Records a catalog read in the current epoch.
     *
     * @param version its version
     */
    void published(long version) {
        publishedVersion = Math.max(publishedVersion, version);
    }

    /**
     * Returns the newest catalog version read in the current epoch.
     *
     * @return the version, or 0
     */
    long publishedVersion() {
        return publishedVersion;
    }

    private long settledMillis() {
        return peerEpoch == epoch
                ? Math.max(settledAtMillis, peerSettledAtMillis)
                : settledAtMillis;
    }

    /**
     * Returns what is left of the settling time.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the time in milliseconds, or 0
     */
    long leftMillis(long nowMillis) {
        return Math.max(0, settledMillis() - nowMillis);
    }

    /**
     * Returns what is left of the settling time after a return that this router saw itself. Only
     * this is told to peers; otherwise, routers would extend each other's settling time.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the time in milliseconds, or 0
     */
    long ownLeftMillis(long nowMillis) {
        return Math.max(0, ownSettledAtMillis - nowMillis);
    }

    /**
     * Returns whether a response is evidence that no newer catalog had been published when its
     * request was sent.
     *
     * @param sentAt when the request for the response was sent
     * @return whether it confirms the current catalog
     */
    boolean confirms(ClockReading sentAt) {
        return publishedVersion >= actingVersion && sentAt.steadyMillis() >= settledMillis();
    }
}
