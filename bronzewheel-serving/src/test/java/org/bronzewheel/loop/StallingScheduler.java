package org.bronzewheel.loop;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;

/** A scheduler in virtual time that can stall, after which overdue tasks run late. */
public final class StallingScheduler extends Scheduler {
    private final TestScheduler tasks = new TestScheduler();
    private long stalledMillis;

    /** Advances the clock and runs the tasks that become due, each at its time. */
    public void advance(long millis) {
        tasks.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    /** Advances the clock at once, then runs the tasks that have become overdue. */
    public void stall(long millis) {
        stalledMillis += millis;
        for (long passed = 0; passed < millis; passed++) {
            stalledMillis--;
            tasks.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public long now(TimeUnit unit) {
        return unit.convert(
                tasks.now(TimeUnit.MILLISECONDS) + stalledMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public Worker createWorker() {
        return tasks.createWorker();
    }
}
