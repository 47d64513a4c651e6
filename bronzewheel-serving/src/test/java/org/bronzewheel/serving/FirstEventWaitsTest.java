package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FirstEventWaitsTest {
    private final FirstEventWaits waits = new FirstEventWaits();

    /** Simulates requests of a rank that each start after a delay; returns the time at the end. */
    private long simulate(int rank, long fromMillis, long intervalMillis, long waitMillis) {
        long now = fromMillis;
        for (; now < fromMillis + 12_000; now += intervalMillis) {
            waits.sent("s", rank, now);
            if (now - fromMillis >= waitMillis) {
                waits.ended("s", rank, true, now);
            }
        }
        return now;
    }

    @Test
    void theEstimateMatchesTheWaitAtASteadyRate() {
        long now = simulate(1, 0, 50, 400);
        assertThat(waits.expectedMillis("s", 1, now)).isWithin(60).of(400);
        assertThat(waits.expectedMillis("s", 0, now)).isEqualTo(0);
        assertThat(waits.expectedMillis("t", 1, now)).isEqualTo(0);
    }

    @Test
    void aStalledQueueRaisesTheEstimateBeforeItsRequestsEnd() {
        long now = simulate(1, 0, 50, 400);
        assertThat(waits.expectedMillis("s", 1, now + 3_000)).isGreaterThan(1_000);
        assertThat(waits.expectedMillis("s", 1, now + 9_000)).isGreaterThan(5_000);
    }

    @Test
    void abandonedRequestsStopCountingSoThatNewOnesAreAdmitted() {
        for (int i = 0; i < 20; i++) {
            waits.sent("s", 1, 0);
        }
        assertThat(waits.expectedMillis("s", 1, 4_000)).isGreaterThan(10_000);
        for (int i = 0; i < 20; i++) {
            waits.ended("s", 1, false, 4_000);
        }
        assertThat(waits.expectedMillis("s", 1, 20_000)).isLessThan(300);
    }
}
