package org.bronzewheel.published;

import java.util.List;

/**
 * A response of the platform: a snapshot or the changes after a position.
 *
 * @param position the position up to which the changes are complete
 * @param changes the changes, or the full published state for a snapshot
 * @param relayed whether another router relayed it
 * @param ageMillis its age at the relaying router, in milliseconds; 0 if it was not relayed
 */
public record PublishedBatch(
        PublishedPosition position,
        List<PublishedChange> changes,
        boolean relayed,
        long ageMillis) {
    /**
     * Creates a batch that was read from the platform directly.
     *
     * @param position the position up to which the changes are complete
     * @param changes the changes, or the full published state for a snapshot
     */
    public PublishedBatch(PublishedPosition position, List<PublishedChange> changes) {
        this(position, changes, false, 0);
    }
}
