package org.bronzewheel.published;

import io.reactivex.rxjava3.core.Single;

/** Reads the state that the platform publishes. */
public interface PublishedSource {
    /**
     * Reads the full published state, as of the time of the call or later.
     *
     * @return the snapshot
     */
    Single<PublishedBatch> snapshot();

    /**
     * Long-polls for changes.
     *
     * @param afterRevision the last revision that the caller has
     * @param waitMillis the maximum wait, in milliseconds; the batch is then empty
     * @return the changes, or an error {@link HistoryLostException} if they are no longer available
     */
    Single<PublishedBatch> changes(long afterRevision, long waitMillis);
}
