package org.bronzewheel.stages;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import org.bronzewheel.upstreams.UpstreamEntry;

/** The client of stage upstreams. */
public interface StagePort {
    /**
     * Runs pieces, possibly of several requests, in one call.
     *
     * @param target the upstream
     * @param items the pieces
     * @param listener receives the outcomes, never before this method returns
     * @return a handle that cancels the call when disposed
     */
    Disposable run(UpstreamEntry target, List<StageItem> items, StageCallListener listener);

    /**
     * Frees results at the upstream that stores them. The outcome is not reported, as results that
     * are not freed expire.
     *
     * @param target the upstream that stores the results
     * @param handles the handles of the results
     */
    void free(UpstreamEntry target, List<String> handles);
}
