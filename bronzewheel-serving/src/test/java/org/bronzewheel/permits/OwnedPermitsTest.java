package org.bronzewheel.permits;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.loop.Loop;
import org.junit.jupiter.api.Test;

class OwnedPermitsTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final List<PermitDecision> decisions = new ArrayList<>();
    private OptionalDouble limit = OptionalDouble.of(1);
    private final OwnedPermits permits = new OwnedPermits(PermitKind.SEND, name -> limit, loop);

    private void ask(long timeoutMillis) {
        permits.ask("u", 0, timeoutMillis, 1, decisions::add);
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    // A cold time ends while requests wait; they would otherwise wait at the rate of a cold one.
    @Test
    void requestsThatWaitForALimitThatEndsAreGrantedThoughNobodyAsksAgain() {
        for (int i = 0; i < 4; i++) {
            ask(5_000);
        }
        advance(100);
        limit = OptionalDouble.empty();
        advance(2_100);
        assertThat(decisions).hasSize(4);
        assertThat(decisions.stream().allMatch(PermitDecision::granted)).isTrue();
    }

    @Test
    void aNewRequestIsGrantedAtOnceAfterALimitHasEndedAndThoseThatWaitAreNotRefused() {
        ask(5_000);
        ask(5_000);
        limit = OptionalDouble.empty();
        ask(0);
        assertThat(decisions).containsExactly(PermitDecision.GRANTED);
        advance(1_000);
        assertThat(decisions).hasSize(3);
        assertThat(decisions.stream().allMatch(PermitDecision::granted)).isTrue();
    }

    @Test
    void aLimitThatIsLoweredAppliesToRequestsThatWait() {
        limit = OptionalDouble.of(10);
        for (int i = 0; i < 20; i++) {
            ask(5_000);
        }
        advance(100);
        limit = OptionalDouble.of(1);
        advance(2_000);
        assertThat(decisions.stream().filter(PermitDecision::granted).count()).isAtMost(5L);
    }
}
