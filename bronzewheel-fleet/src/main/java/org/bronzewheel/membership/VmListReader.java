package org.bronzewheel.membership;

import io.reactivex.rxjava3.core.Maybe;
import org.bronzewheel.vm.VmList;

/** A reader of the platform's VM list. */
@FunctionalInterface
public interface VmListReader {
    /**
     * Reads the list, waiting for one that is newer.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds, 0 to answer at once
     * @return a list with a higher revision, empty where there is none, or an error with code
     *     PLATFORM_UNAVAILABLE
     */
    Maybe<VmList> read(long afterRevision, long waitMillis);
}
