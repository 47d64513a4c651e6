package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StageShortageExperimentTest {
    private static StageProfile deployment(String name) {
        return name.equals("tokachi") ? StageProfile.tokachi() : StageProfile.ikaze();
    }

    // Guards against ranks that starve behind more urgent ones, as in the incident of the last
    // rank.
    @ParameterizedTest
    @CsvSource({"tokachi,crew-roster,2", "tokachi,field-registry,3", "ikaze,hr-sync,3"})
    void noRankStarvesWhileAStageServiceIsShortOfUpstreams(
            String profile, String service, int lost) {
        StageProfile deployment = deployment(profile);
        Row row = StageShortageExperiment.burstRow(deployment, service, lost, 3);
        for (int rank = 0; rank < deployment.routes().size(); rank++) {
            assertWithMessage("answered of rank %s, against all", rank)
                    .that(row.figures().get("answered " + rank) / row.figures().get("answered"))
                    .isAtLeast(StageShortageExperiment.LEAST_PART_OF_ALL);
        }
    }

    // Guards against late jobs of an urgent rank that starve behind on-time ones of the next rank.
    @ParameterizedTest
    @CsvSource({"tokachi,crew-roster,2", "tokachi,field-registry,3", "ikaze,hr-sync,3"})
    void noRankIsServedLessOftenThanALessUrgentOneInAShortage(
            String profile, String service, int lost) {
        StageProfile deployment = deployment(profile);
        Row row = StageShortageExperiment.burstRow(deployment, service, lost, 3);
        assertWithMessage("answered of a less urgent rank, less that of the rank before it")
                .that(StageShortageExperiment.inversion(deployment, service, row))
                .isAtMost(StageShortageExperiment.MOST_INVERSION);
    }
}
