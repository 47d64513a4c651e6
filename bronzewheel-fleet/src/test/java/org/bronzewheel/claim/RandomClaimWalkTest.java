package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs long random schedules of the claim machine. The system properties {@code claims.seed},
 * {@code claims.seeds} and {@code claims.steps} set the first seed, the number of seeds and the
 * number of steps.
 */
class RandomClaimWalkTest {
    private static final long FIRST_SEED = Long.getLong("claims.seed", 1);
    private static final long SEEDS = Long.getLong("claims.seeds", 80);
    private static final int STEPS = Integer.getInteger("claims.steps", 1_500);

    @Test
    void noRandomScheduleViolatesAProperty() {
        long before = System.nanoTime();
        long granted = 0;
        long refused = 0;
        long claimed = 0;
        for (long seed : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).toArray()) {
            RandomClaimWalk walk = new RandomClaimWalk(seed, ClaimRules.ALL);
            Optional<String> violation = walk.run(STEPS);
            assertWithMessage("seed %s, step %s", seed, walk.steps())
                    .that(violation)
                    .isEqualTo(Optional.empty());
            granted += walk.simulation().grants();
            refused += walk.simulation().refusals();
            claimed += walk.simulation().requests.size();
        }
        System.out.printf(
                "CHECK random: %d seeds of %d steps, %d claims, %d granted, %d refused, %d ms%n",
                SEEDS, STEPS, claimed, granted, refused, (System.nanoTime() - before) / 1_000_000);
        assertThat(granted).isGreaterThan(SEEDS);
    }
}
