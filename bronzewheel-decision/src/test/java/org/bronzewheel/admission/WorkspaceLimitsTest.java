package org.bronzewheel.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Workspace;
import org.junit.jupiter.api.Test;

class WorkspaceLimitsTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void workspaceWithoutLimitIsNeverRefused() {
        WorkspaceLimits limits = new WorkspaceLimits(3);
        Workspace free = new Workspace("free", 1, 0);
        for (int i = 0; i < 1_000; i++) {
            assertThat(limits.tryTake(free, 0)).isEmpty();
        }
    }

    @Test
    void requestOverTheLimitIsRefusedWithRetryAfter() {
        WorkspaceLimits limits = new WorkspaceLimits(2);
        Workspace small = new Workspace("small", 1, 4);
        assertThat(limits.tryTake(small, 0)).isEmpty();
        assertThat(limits.tryTake(small, 0)).isEmpty();
        Optional<Refusal> refusal = limits.tryTake(small, 0);
        assertThat(refusal.orElseThrow().code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.orElseThrow().retryAfterMillis()).isAtLeast(500L);
        assertThat(limits.tryTake(small, SECOND / 2)).isEmpty();
    }

    @Property(seed = "1", tries = 50)
    void routersTogetherStayWithinTheLimit(
            @ForAll @IntRange(min = 1, max = 9) int routers,
            @ForAll @IntRange(min = 10, max = 200) int limit) {
        List<WorkspaceLimits> fleet = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            fleet.add(new WorkspaceLimits(routers));
        }
        Workspace workspace = new Workspace("w", 1, limit);
        int seconds = 5;
        int granted = 0;
        for (int i = 0; i < 10_000; i++) {
            long now = (long) i * seconds * SECOND / 10_000;
            granted += fleet.get(i % routers).tryTake(workspace, now).isEmpty() ? 1 : 0;
        }
        int burst = Math.max(routers, limit);
        assertThat(granted).isAtMost(limit * seconds + burst);
    }
}
