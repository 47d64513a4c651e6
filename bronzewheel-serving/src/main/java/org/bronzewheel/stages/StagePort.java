package org.bronzewheel.stages;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import org.bronzewheel.upstreams.UpstreamEntry;

/** The way to stage upstreams. */
public interface StagePort {
    /**
     * Runs pieces of any requests in one call.
     *
     * @param target the upstream
     * @param items the pieces
     * @param listener takes the outcomes, never before this method returns
     * @return gives the call up
     */
    Disposable run(UpstreamEntry target, List<StageItem> items, StageCallListener listener);

    /**
     * Frees results at their maker; nothing is told of the outcome, as they lapse anyway.
     *
     * @param target the maker
     * @param handles the names of the results
     */
    void free(UpstreamEntry target, List<String> handles);
}
