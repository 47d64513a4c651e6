package org.bronzewheel.published;

import java.util.List;

/**
 * A response of the platform: a snapshot or the changes after a revision.
 *
 * @param revision the revision up to which the changes are complete
 * @param changes the changes, or the full published state for a snapshot
 * @param relayed whether another router relayed it
 * @param ageMillis its age at the relaying router, in milliseconds; 0 if it was not relayed
 */
public record PublishedBatch(
        long revision, List<PublishedChange> changes, boolean relayed, long ageMillis) {
    /**
     * Creates a batch that was read from the platform directly.
     *
     * @param revision the revision up to which the changes are complete
     * @param changes the changes, or the full published state for a snapshot
     */
    public PublishedBatch(long revision, List<PublishedChange> changes) {
        this(revision, changes, false, 0);
    }
}
