package org.bronzewheel.published;

import java.util.List;

/**
 * An answer of the platform.
 *
 * @param revision the revision up to which it tells all changes
 * @param changes the changes, or for a snapshot everything that is published
 */
public record PublishedBatch(long revision, List<PublishedChange> changes) {}
