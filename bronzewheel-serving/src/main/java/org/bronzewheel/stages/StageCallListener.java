package org.bronzewheel.stages;

import java.util.List;
import org.bronzewheel.upstreams.NamedLimit;

/** The receiver of the outcome of a call. */
public interface StageCallListener {
    /**
     * Takes what the answer says of the requests that the upstream takes, before its outcomes.
     *
     * @param limit what it says
     */
    void onLimit(NamedLimit limit);

    /**
     * Takes the outcomes; nothing follows.
     *
     * @param outcomes one for each piece, in order
     */
    void onOutcomes(List<StageItemOutcome> outcomes);

    /**
     * Takes the failure of the whole call; nothing follows.
     *
     * @param neverRan whether the upstream did no work on it
     * @param reason one sentence for the log
     */
    void onFailure(boolean neverRan, String reason);
}
