package org.bronzewheel.relay;

import io.reactivex.rxjava3.core.Maybe;
import org.bronzewheel.configuration.ConfigurationDocument;

/** A reader of the platform's configuration service. */
@FunctionalInterface
public interface ConfigurationReader {
    /**
     * Reads the document, waiting for one that is newer.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds, 0 to answer at once
     * @return a document with a higher revision, empty where there is none, or an error with code
     *     PLATFORM_UNAVAILABLE
     */
    Maybe<ConfigurationDocument> read(long afterRevision, long waitMillis);
}
