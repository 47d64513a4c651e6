package org.bronzewheel.published;

import java.util.List;

/**
 * An answer of the platform.
 *
 * @param revision the revision up to which it tells all changes
 * @param changes the changes, or for a snapshot everything that is published
 * @param relayed whether another router passed it on
 * @param ageMillis the age that it had at that router, in milliseconds; 0 where it was not relayed
 */
public record PublishedBatch(
        long revision, List<PublishedChange> changes, boolean relayed, long ageMillis) {
    /**
     * Creates an answer that the platform itself gave.
     *
     * @param revision the revision up to which it tells all changes
     * @param changes the changes, or for a snapshot everything that is published
     */
    public PublishedBatch(long revision, List<PublishedChange> changes) {
        this(revision, changes, false, 0);
    }
}
