package org.bronzewheel.stages;

import java.util.List;

/** The receiver of the outcome of a call. */
public interface StageCallListener {
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
