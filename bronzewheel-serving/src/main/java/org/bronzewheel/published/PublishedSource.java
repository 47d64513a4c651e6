package org.bronzewheel.published;

import io.reactivex.rxjava3.core.Single;

/** The reading side of the platform. */
public interface PublishedSource {
    /**
     * Reads everything that is published, as of the time of the call or later.
     *
     * @return the snapshot
     */
    Single<PublishedBatch> snapshot();

    /**
     * Waits for changes.
     *
     * @param afterRevision the revision after which changes are told
     * @param waitMillis the longest wait, in milliseconds; then the answer is empty
     * @return the changes; {@link HistoryLostException} where they are no longer known
     */
    Single<PublishedBatch> changes(long afterRevision, long waitMillis);
}
