package org.bronzewheel.published;

import java.util.Comparator;

/**
 * A position in the history of the published state, ordered by epoch and then by revision.
 *
 * <p>A platform that returns from a copy begins a new epoch and gives out revisions again, so that
 * a revision alone orders nothing.
 *
 * @param epoch the epoch of the platform, or {@link #UNKNOWN_EPOCH}
 * @param revision the revision within the epoch
 */
public record PublishedPosition(long epoch, long revision)
        implements Comparable<PublishedPosition> {
    /** The epoch of a platform that has not told one. */
    public static final long UNKNOWN_EPOCH = -1;

    /** The position before the first snapshot. */
    public static final PublishedPosition START = new PublishedPosition(UNKNOWN_EPOCH, 0);

    private static final Comparator<PublishedPosition> ORDER =
            Comparator.comparingLong(PublishedPosition::epoch)
                    .thenComparingLong(PublishedPosition::revision);

    @Override
    public int compareTo(PublishedPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + ":" + revision;
    }
}
