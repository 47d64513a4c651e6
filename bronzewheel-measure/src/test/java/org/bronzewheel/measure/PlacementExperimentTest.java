package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Set;
import org.bronzewheel.measure.PlacementFleet.Evidence;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sixteen routers before thirteen engines in virtual time, half a minute of it in a burst. */
class PlacementExperimentTest {
    private static final int ROUTERS = 16;
    private static final Set<Evidence> ALL = Set.of(Evidence.values());

    private static PlacementFleet fleet(boolean unequal, Set<Evidence> evidence, long seed) {
        PlacementFleet fleet =
                new PlacementFleet(
                        ROUTERS,
                        PlacementFleet.SMALL_ENGINES,
                        unequal,
                        PlacementExperiment.BURST,
                        evidence,
                        seed);
        fleet.run();
        return fleet;
    }

    // Guards against placing that costs requests their objective where today's view suffices.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void inACalmLoadNoClassIsServedWorseThanByOwnCallsAlone(long seed) {
        for (boolean unequal : new boolean[] {false, true}) {
            PlacementFleet before = fleet(unequal, Set.of(), seed);
            PlacementFleet after = fleet(unequal, ALL, seed);
            for (int i = 0; i < PlacementFleet.CLASSES.size(); i++) {
                assertWithMessage("class %s, unequal %s", i, unequal)
                        .that(after.calmShare(i))
                        .isAtLeast(before.calmShare(i));
            }
        }
    }

    // Guards against prompts that queue at loaded or slow engines while others are idle.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void inABurstBeforeUnequalEnginesEachClassIsServedBetter(long seed) {
        PlacementFleet before = fleet(true, Set.of(), seed);
        PlacementFleet after = fleet(true, ALL, seed);
        for (int i = 0; i < PlacementFleet.CLASSES.size(); i++) {
            assertWithMessage("class %s", i)
                    .that(after.burstShare(i))
                    .isGreaterThan(before.burstShare(i));
        }
    }
}
