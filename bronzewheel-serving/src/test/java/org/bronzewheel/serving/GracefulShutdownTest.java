package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.catalog.RepeatRule;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private static final long STOP_MILLIS = 8_000;

    private final List<String> ends = new ArrayList<>();

    private World drain(World world) {
        new GracefulShutdown(world.loop, STOP_MILLIS, world.engine, () -> 0, () -> ends.add("end"))
                .begin();
        return world;
    }

    @Test
    void anIdleRouterStaysWhileTheBalancerStillSendsCallers() {
        World world = drain(new World());
        world.advance(2_500);
        assertThat(ends).isEmpty();
        world.advance(200);
        assertThat(ends).hasSize(1);
    }

    @Test
    void requestsInProgressAreAnsweredBeforeTheEnd() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)).request();
        drain(world).advance(2_900);
        assertThat(ends).isEmpty();
        world.lastSend().answer(200);
        world.advance(100);
        assertThat(ends).hasSize(1);
    }

    @Test
    void theLastAnswerForAnotherRouterHasTimeToLeave() {
        int[] jobs = {1};
        World world = new World();
        new GracefulShutdown(
                        world.loop, STOP_MILLIS, world.engine, () -> jobs[0], () -> ends.add("end"))
                .begin();
        world.advance(2_999);
        jobs[0] = 0;
        world.advance(1);
        assertThat(ends).isEmpty();
        world.advance(50);
        assertThat(ends).hasSize(1);
    }

    @Test
    void lateRequestsAreRefusedWithTheTruthThatTheyDidNotRun() {
        World world = drain(new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)));
        world.advance(2_000).request();
        assertThat(world.sends).hasSize(1);
        world.advance(500);
        world.with(1, World.route(RepeatRule.AT_MOST_ONCE, false, 1), List.of("key"));
        world.advance(600).request();
        assertThat(world.sends).hasSize(1);
        assertThat(world.refusedWith()).isEqualTo(503);
    }

    @Test
    void theEndComesBeforeTheKill() {
        World world = new World().with(World.route(RepeatRule.AT_MOST_ONCE, false, 1)).request();
        drain(world).advance(STOP_MILLIS);
        assertThat(ends).isNotEmpty();
    }
}
