package org.bronzewheel.loop;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StallMonitorTest {
    private static final long PERIOD_MILLIS = 100;

    private final StallingScheduler scheduler = new StallingScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final StallMonitor monitor = new StallMonitor(loop, PERIOD_MILLIS);

    @Test
    void onlyTheTimeInWhichNoTaskRanCountsAsAStall() {
        loop.every(PERIOD_MILLIS, monitor::tick);
        scheduler.advance(5_000);
        assertThat(monitor.stalledMillis()).isEqualTo(0);
        scheduler.stall(1_500);
        scheduler.advance(5_000);
        assertThat(monitor.stalledMillis()).isEqualTo(1_400);
    }
}
