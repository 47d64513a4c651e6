package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StageBurstExperimentTest {
    private static final double PAST_CAPACITY = 6;

    // Guards against requests that are held until their callers leave, as in the incident SHORT.
    @ParameterizedTest
    @CsvSource({"tokachi,pilot-brief", "ikaze,policy-digest"})
    void noCallerIsHeldUntilItLeavesInABurstPastCapacity(String profile, String route) {
        StageProfile deployment =
                profile.equals("tokachi") ? StageProfile.tokachi() : StageProfile.ikaze();
        Map<String, Double> figures =
                StageBurstExperiment.row(deployment, route, PAST_CAPACITY, 3).figures();
        assertWithMessage("share of callers that left unanswered")
                .that(figures.get("left"))
                .isEqualTo(0.0);
    }
}
