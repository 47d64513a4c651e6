package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class StageExperimentTest {
    private static Map<String, Double> figures(
            StageProfile profile, StageVariant variant, double load) {
        return StageExperiment.row(profile, variant, load, 3).figures();
    }

    @Test
    void atUsualLoadAnOwnerServesAllRequestsInTime() {
        Map<String, Double> tokachi = figures(StageProfile.tokachi(), StageVariant.OWNER, 1);
        assertThat(tokachi.get("answered")).isEqualTo(1.0);
        assertThat(tokachi.get("on time")).isGreaterThan(0.98);
        Map<String, Double> ikaze = figures(StageProfile.ikaze(), StageVariant.OWNER, 1);
        assertThat(ikaze.get("answered")).isEqualTo(1.0);
        assertThat(ikaze.get("on time")).isGreaterThan(0.95);
    }

    @Test
    void anOwnerEarnsMoreThanBatchingAloneAndThanTurns() {
        double owner = figures(StageProfile.tokachi(), StageVariant.OWNER, 1.7).get("worth");
        assertThat(owner)
                .isGreaterThan(
                        figures(StageProfile.tokachi(), StageVariant.ALONE, 1.7).get("worth"));
        assertThat(owner)
                .isGreaterThan(
                        figures(StageProfile.tokachi(), StageVariant.TURNS, 1.7).get("worth"));
    }

    @Test
    void theDeathOfAnOwnerCostsLittle() {
        Map<String, Double> dies = figures(StageProfile.ikaze(), StageVariant.OWNER_DIES, 1);
        assertThat(dies.get("answered")).isGreaterThan(0.97);
        assertThat(dies.get("failed")).isEqualTo(0.0);
    }

    @ParameterizedTest
    @EnumSource(
            value = StageVariant.class,
            names = {"OWNER", "OWNER_DIES"})
    void theSameSeedGivesTheSameFigures(StageVariant variant) {
        assertThat(figures(StageProfile.ikaze(), variant, 1))
                .isEqualTo(figures(StageProfile.ikaze(), variant, 1));
    }
}
