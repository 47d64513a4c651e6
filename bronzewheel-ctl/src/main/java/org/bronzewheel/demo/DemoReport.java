package org.bronzewheel.demo;

import java.util.List;
import java.util.Map;
import org.bronzewheel.judge.Verdict;

/**
 * What the demo showed.
 *
 * @param verdict what became of the requests
 * @param endCodes counts of the reasons for which callers got no answer
 * @param unanswered descriptions of requests that ended without an answer
 * @param cutOffByPlannedStop sends that the router that stopped as planned left without a reply
 * @param runsAfterLeaving runs that began at the leaving upstream long after it began to leave
 */
public record DemoReport(
        Verdict verdict,
        Map<String, Integer> endCodes,
        List<String> unanswered,
        int cutOffByPlannedStop,
        int runsAfterLeaving) {
    /**
     * Tells whether no promise was broken.
     *
     * @return true where all is well
     */
    public boolean isClean() {
        return verdict.total().isClean() && cutOffByPlannedStop == 0 && runsAfterLeaving == 0;
    }
}
