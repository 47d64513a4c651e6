package org.bronzewheel.published;

import io.reactivex.rxjava3.core.Single;

/** Reads the state that the platform publishes. */
public interface PublishedSource {
    /**
     * Reads the full published state, as of the time of the call or later.
     *
     * @return the snapshot, all of one epoch
     */
    Single<PublishedBatch> snapshot();

    /**
     * Long-polls for changes.
     *
     * @param after the last position that the caller has
     * @param waitMillis the maximum wait, in milliseconds; the batch is then empty
     * @return the changes, or an error {@link HistoryLostException} if they are no longer available
     *     or {@link ReaderLostException} if the platform itself was not asked
     */
    Single<PublishedBatch> changes(PublishedPosition after, long waitMillis);

    /**
     * Returns the highest epoch that any response has told so far, failures included.
     *
     * @return the epoch, or {@link PublishedPosition#UNKNOWN_EPOCH}
     */
    long epoch();
}
