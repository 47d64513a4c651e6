package org.bronzewheel.permits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PermitQueueTest {
    private static final long WINDOW_MILLIS = 4_000;

    private final List<PermitDecision> decisions = new ArrayList<>();

    private boolean ask(PermitQueue queue, long nowMillis) {
        queue.ask(0, 0, nowMillis, decisions::add);
        return decisions.get(decisions.size() - 1).granted();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 1, 20, 250})
    void grantsStayWithinTheLimitInEveryWindowAndUseMostOfIt(double limit) {
        PermitQueue queue = new PermitQueue(limit, 1, 0);
        List<Long> granted = new ArrayList<>();
        for (long now = 0; now < 60_000; now++) {
            if ((now < 20_000 || now > 30_000) && ask(queue, now)) {
                granted.add(now);
            }
        }
        for (long first : granted) {
            long inWindow =
                    granted.stream().filter(t -> t >= first && t < first + WINDOW_MILLIS).count();
            assertWithMessage("from %s", first).that(inWindow).isAtMost((long) (6 * limit + 5));
        }
        assertThat(granted.size()).isAtLeast((int) (0.95 * 50 * limit) - 1);
        assertWithMessage("requests that find out").that(granted.size()).isAtLeast(10);
    }

    @Test
    void aNewQueueHasNoPermits() {
        PermitQueue queue = new PermitQueue(2, 1, 0);
        assertThat(ask(queue, 0)).isFalse();
        assertThat(decisions.get(0).nextMillis()).isEqualTo(500);
        assertThat(ask(queue, 500)).isTrue();
    }

    @Test
    void aLowerLimitAppliesAtOnce() {
        PermitQueue queue = new PermitQueue(100, 1, 0);
        queue.setLimit(1, 1, 5_000);
        assertThat(ask(queue, 5_000)).isTrue();
        assertThat(ask(queue, 5_000)).isFalse();
        assertThat(ask(queue, 5_999)).isFalse();
        assertThat(ask(queue, 6_000)).isTrue();
    }

    @Test
    void aRequestThatCannotBeGrantedInTimeIsRefusedAtOnceWithARetryTime() {
        PermitQueue queue = new PermitQueue(1, 1, 0);
        queue.ask(0, 1_500, 0, decisions::add);
        assertThat(decisions).isEmpty();
        queue.ask(0, 1_500, 0, decisions::add);
        assertThat(decisions).hasSize(1);
        assertThat(decisions.get(0).granted()).isFalse();
        assertThat(decisions.get(0).retryAfterMillis()).isEqualTo(2_000);
        assertThat(decisions.get(0).nextMillis()).isEqualTo(1_000);
    }

    @Test
    void aWaitingRequestOvertakenByMoreUrgentOnesTimesOut() {
        PermitQueue queue = new PermitQueue(1, 1, 0);
        List<String> ended = new ArrayList<>();
        queue.ask(2, 1_200, 0, d -> ended.add("late " + d.granted()));
        queue.ask(0, 1_200, 0, d -> ended.add("urgent " + d.granted()));
        assertThat(queue.nextEventMillis(0)).isEqualTo(1_000);
        queue.serve(1_000);
        assertThat(queue.nextEventMillis(1_000)).isEqualTo(201);
        queue.serve(1_201);
        assertThat(ended).containsExactly("urgent true", "late false").inOrder();
        assertThat(queue.hasWaiting()).isFalse();
    }

    @Test
    void underOverloadUrgentRanksGetMoreAndNoRankStarves() {
        PermitQueue queue = new PermitQueue(10, 1, 0);
        int[] granted = new int[3];
        for (long now = 0; now < 60_000; now += 20) {
            int rank = (int) (now / 20 % 3);
            queue.ask(rank, 400, now, d -> granted[rank] += d.granted() ? 1 : 0);
            queue.serve(now);
        }
        assertThat(granted[0]).isGreaterThan(granted[2]);
        // A quarter of the share that each rank would get if ranks were ignored.
        assertThat(granted[2]).isAtLeast(600 / 3 / 4);
        assertThat(granted[1]).isAtLeast(granted[2]);
    }

    // Guards against a burst of all waiting requests, and against waits for a limit that is gone.
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 2, 8.8, 40})
    void theRequestsThatWaitWhenALimitEndsPassSoonerAndWithoutABurst(double limit) {
        double rate = Math.max(0.25, limit);
        PermitQueue queue = new PermitQueue(limit, 1, 0);
        List<Long> granted = new ArrayList<>();
        int count = (int) Math.ceil(3 * rate);
        long[] now = new long[1];
        for (int i = 0; i < count; i++) {
            queue.ask(
                    0,
                    20_000,
                    0,
                    decision -> {
                        assertThat(decision.granted()).isTrue();
                        granted.add(now[0]);
                    });
        }
        long endedMillis = 500;
        for (now[0] = 0; now[0] < 20_000; now[0]++) {
            if (now[0] >= endedMillis) {
                queue.endLimit(now[0]);
            }
            queue.serve(now[0]);
        }
        assertThat(granted).hasSize(count);
        assertThat((double) granted.get(count - 1)).isLessThan(count * 1_000 / rate + 1);
        for (long first : granted) {
            long inSecond = granted.stream().filter(t -> t >= first && t < first + 1_000).count();
            assertThat(inSecond).isAtMost((long) (1.5 * limit + 5));
        }
    }

    @Test
    void aLimitThatBeginsAgainAppliesAtOnce() {
        PermitQueue queue = new PermitQueue(10, 1, 0);
        queue.endLimit(1_000);
        queue.setLimit(2, 1, 5_000);
        assertThat(ask(queue, 5_000)).isTrue();
        assertThat(ask(queue, 5_000)).isFalse();
        assertThat(ask(queue, 5_499)).isFalse();
        assertThat(ask(queue, 5_500)).isTrue();
    }
}
