package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadSheddingExperimentTest {
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);
    private static final int ROUTES = 3;

    private static List<StageProfile> profiles() {
        return List.of(profile("uneven"), profile("tokachi"), profile("ikaze"));
    }

    private static StageProfile profile(String name) {
        StageProfile profile =
                switch (name) {
                    case "uneven" -> StageProfile.uneven();
                    case "tokachi" -> StageProfile.tokachi();
                    default -> StageProfile.ikaze();
                };
        return profile.withWorkspaces(LoadSheddingExperiment.WORKSPACES);
    }

    /** Returns the mean figures of bursts at all profiles. */
    private static Map<String, Double> means(StageVariant variant, double factor) {
        Map<String, Double> means = new TreeMap<>();
        int runs = profiles().size() * SEEDS.size();
        for (StageProfile profile : profiles()) {
            for (long seed : SEEDS) {
                LoadSheddingExperiment.burstRow(profile, variant, factor, seed)
                        .figures()
                        .forEach((name, figure) -> means.merge(name, figure / runs, Double::sum));
            }
        }
        return means;
    }

    /** Checks the requests on time of each rank, over all profiles, against the runs without. */
    private static void checkRanks(Map<String, Double> without, Map<String, Double> with) {
        List<String> figures = new ArrayList<>(List.of("on time", "on time small", "answered"));
        for (int rank = 0; rank < LoadSheddingExperiment.WORKSPACES * ROUTES; rank++) {
            figures.add("rank " + rank);
        }
        for (String figure : figures) {
            assertWithMessage(figure)
                    .that(with.get(figure))
                    .isAtLeast(without.get(figure) - LoadSheddingExperiment.MAX_LOSS);
        }
    }

    // Guards against a policy that makes more requests of some rank late than none.
    @Test
    void noRankHasFewerRequestsOnTimeThanWithoutThePolicyInABurstPastCapacity() {
        checkRanks(
                means(StageVariant.OWNER, LoadSheddingExperiment.PAST_CAPACITY),
                means(StageVariant.OWNER_SHEDS, LoadSheddingExperiment.PAST_CAPACITY));
    }

    // Guards against a policy that gives up requests which the upstreams can serve on time.
    @Test
    void noRankHasFewerRequestsOnTimeThanWithoutThePolicyInABurst() {
        checkRanks(
                means(StageVariant.OWNER, LoadSheddingExperiment.BURST),
                means(StageVariant.OWNER_SHEDS, LoadSheddingExperiment.BURST));
    }

    // Guards against urgent workspaces that are served after less urgent ones.
    @ParameterizedTest
    @ValueSource(doubles = {LoadSheddingExperiment.BURST, LoadSheddingExperiment.PAST_CAPACITY})
    void urgentWorkspaceIsServedFirst(double factor) {
        Map<String, Double> with = means(StageVariant.OWNER_SHEDS, factor);
        for (int rank = 0; rank < ROUTES; rank++) {
            assertWithMessage("on time of the urgent workspace, route of priority %s", rank)
                    .that(with.get("rank " + rank))
                    .isAtLeast(with.get("rank " + (rank + ROUTES)));
        }
    }

    // Guards against requests that are held until their callers leave.
    @ParameterizedTest
    @ValueSource(strings = {"uneven", "tokachi", "ikaze"})
    void noCallerIsHeldUntilItLeavesInABurstPastCapacity(String name) {
        Map<String, Double> figures =
                LoadSheddingExperiment.burstRow(
                                profile(name),
                                StageVariant.OWNER_SHEDS,
                                LoadSheddingExperiment.PAST_CAPACITY,
                                3)
                        .figures();
        assertThat(figures.get("left")).isEqualTo(0.0);
    }

    // Guards against a policy that interferes where the capacity suffices.
    @ParameterizedTest
    @ValueSource(strings = {"uneven", "tokachi", "ikaze"})
    void nothingChangesAtAQuietLoad(String name) {
        Map<String, Double> without =
                LoadSheddingExperiment.quietRow(profile(name), StageVariant.OWNER, 3).figures();
        Map<String, Double> with =
                LoadSheddingExperiment.quietRow(profile(name), StageVariant.OWNER_SHEDS, 3)
                        .figures();
        assertThat(with).isEqualTo(without);
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        assertThat(row()).isEqualTo(row());
    }

    private static Row row() {
        return LoadSheddingExperiment.burstRow(
                profile("uneven"),
                StageVariant.OWNER_SHEDS,
                LoadSheddingExperiment.PAST_CAPACITY,
                3);
    }
}
