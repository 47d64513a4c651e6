package org.bronzewheel.stages;

import java.util.List;

/** Receives the outcome of a call. */
public interface StageCallListener {
    /**
     * Called when the upstream has answered; nothing follows.
     *
     * @param outcomes one for each piece, in order
     */
    void onOutcomes(List<StageItemOutcome> outcomes);

    /**
     * Called when the whole call has failed; nothing follows.
     *
     * @param failure whether the upstream received the call and may have worked on it
     * @param reason a description for the log
     */
    void onFailure(StageCallFailure failure, String reason);
}
