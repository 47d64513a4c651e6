package org.bronzewheel.loop;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReceiveClockTest {
    private final StallingScheduler scheduler = new StallingScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final ReceiveClock clock = new ReceiveClock(loop);

    @Test
    void aStallOfTheLoopIsNotCounted() {
        loop.every(100, clock::nowMillis);
        scheduler.advance(1_000);
        scheduler.stall(3_000);
        assertThat(clock.nowMillis()).isEqualTo(1_000);
        scheduler.advance(1_000);
        assertThat(clock.nowMillis()).isEqualTo(2_000);
    }
}
