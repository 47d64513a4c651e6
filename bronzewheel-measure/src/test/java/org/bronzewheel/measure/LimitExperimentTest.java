package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Fleets before an upstream that names a limit, in virtual time. */
class LimitExperimentTest {
    private static final int SOAK_ROUTERS = 9;
    private static final long SOAK_MILLIS = 40_000;
    private static final long CHANGE_MILLIS = 1_500;
    private static final long RESTART_MILLIS = 800;

    // Guards against routers that together send more than an upstream takes, as in the incident
    // LIMIT.
    @ParameterizedTest
    @CsvSource({"6,1,false", "9,0.3,false", "9,20,false", "9,1,true", "9,20,true", "91,1,false"})
    void aFleetKeepsTheLimitAndUsesIt(int size, double limit, boolean keeperDies) {
        Map<String, Double> figures = LimitExperiment.row(size, limit, keeperDies, 1).figures();
        assertThat(figures.get("worst4s")).isAtMost(LimitExperiment.allowedInWindow(limit));
        if (!keeperDies) {
            assertThat(figures.get("use")).isAtLeast(LimitExperiment.LEAST_USE);
        }
    }

    // Guards against stages whose work is lost for want of a permit, and against ranks that starve.
    @ParameterizedTest
    @CsvSource({"tokachi,0.5", "ikaze,0.3"})
    void whereAllEnginesNameLimitsCallersAreRefusedAtOnceAndNoRankStarves(
            String profile, double part) {
        StageProfile deployment =
                profile.equals("tokachi") ? StageProfile.tokachi() : StageProfile.ikaze();
        Map<String, Double> figures = StageExperiment.limitedRow(deployment, part, 2).figures();
        assertThat(figures.get("held")).isAtMost(LimitExperiment.MOST_HELD);
        for (int rank = 0; rank < 3; rank++) {
            assertWithMessage("answered of rank %s", rank)
                    .that(figures.get("answered " + rank))
                    .isAtLeast(StageShortageExperiment.LEAST_PART_OF_ALL * figures.get("answered"));
        }
    }

    @Test
    void bothSidesOfAFleetThatIsCutKeepTheLimitTogether() {
        LimitFleet fleet = new LimitFleet(9, 20, 100, 1);
        fleet.nameLimit();
        fleet.advance(10_000);
        fleet.cut(4);
        fleet.advance(20_000);
        fleet.cut(0);
        fleet.advance(10_000);
        assertThat((double) fleet.worstWindow()).isAtMost(LimitExperiment.allowedInWindow(20));
    }

    @Test
    void aLimitThatTheUpstreamNamesNoMoreEndsAtAllRouters() {
        LimitFleet fleet = new LimitFleet(9, 0, 30, 1);
        fleet.nameLimit();
        fleet.advance(10_000);
        assertThat(fleet.routersThatKnow()).isEqualTo(9);
        fleet.endLimit();
        fleet.advance(10_000);
        assertThat(fleet.routersThatKnow()).isEqualTo(0);
        long sinceMillis = fleet.nowMillis();
        fleet.advance(5_000);
        assertThat(fleet.perSecondSince(sinceMillis)).isAtLeast(25.0);
    }

    @Test
    void aHigherLimitIsUsedSoon() {
        LimitFleet fleet = new LimitFleet(9, 1, 100, 1);
        fleet.nameLimit();
        fleet.advance(10_000);
        fleet.nameLimit(40);
        fleet.advance(3_000);
        long sinceMillis = fleet.nowMillis();
        fleet.advance(10_000);
        assertThat(fleet.perSecondSince(sinceMillis)).isAtLeast(0.8 * 40);
    }

    /** Returns the seeds to play; {@code -Dsoak.seeds=200} plays more of them. */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 20));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void stopsDeathsAndSilencesInSeriesAndOverlappingBreakNoLimit(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double limit = new double[] {0.3, 1, 8, 60}[random.nextInt(4)];
        LimitFleet fleet = new LimitFleet(SOAK_ROUTERS, limit, 4 * limit + 8, seed);
        fleet.nameLimit();
        for (long millis = 0; millis < SOAK_MILLIS; millis += CHANGE_MILLIS) {
            fleet.advance(CHANGE_MILLIS);
            if (fleet.size() > SOAK_ROUTERS / 2) {
                change(fleet, random);
            }
        }
        assertWithMessage("requests in the worst window, limit %s", limit)
                .that((double) fleet.worstWindow())
                .isAtMost(LimitExperiment.allowedInWindow(limit));
    }

    private static void change(LimitFleet fleet, SplittableRandom random) {
        int victim = random.nextBoolean() ? fleet.keeper() : random.nextInt(fleet.size());
        switch (random.nextInt(3)) {
            case 0 -> fleet.restart(victim, RESTART_MILLIS);
            case 1 -> fleet.stop(victim, RESTART_MILLIS);
            default -> fleet.silence(victim, 200 + random.nextInt(2_500));
        }
    }
}
