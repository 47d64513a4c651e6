package org.bronzewheel.loop;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoopTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> 0);
    private int runs;

    @BeforeEach
    void ignoreUndeliverableErrors() {
        RxJavaPlugins.setErrorHandler(error -> {});
    }

    @AfterEach
    void reset() {
        RxJavaPlugins.reset();
    }

    private void runAndThrow(Runnable fault) {
        runs++;
        fault.run();
    }

    @Test
    void periodicTaskContinuesAfterAnException() {
        assertContinuesAfter(
                () -> {
                    throw new IllegalStateException("unexpected");
                });
    }

    // An error in one turn ended heartbeats, stages and the expiry of upstreams for good.
    @Test
    void periodicTaskContinuesAfterAStackOverflow() {
        assertContinuesAfter(
                () -> {
                    throw new StackOverflowError();
                });
    }

    private void assertContinuesAfter(Runnable fault) {
        Disposable task = loop.every(100, () -> runAndThrow(fault));
        scheduler.advanceTimeBy(350, TimeUnit.MILLISECONDS);
        assertThat(runs).isEqualTo(3);
        task.dispose();
        scheduler.advanceTimeBy(350, TimeUnit.MILLISECONDS);
        assertThat(runs).isEqualTo(3);
    }
}
