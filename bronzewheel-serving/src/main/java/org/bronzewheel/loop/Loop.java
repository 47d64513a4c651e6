package org.bronzewheel.loop;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.catalog.ClockReading;

/** The single-threaded event loop of the serving engine, with its clocks and timers. */
public final class Loop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Scheduler scheduler;
    private final LongSupplier wallMillis;

    /**
     * Creates a loop.
     *
     * @param scheduler runs tasks sequentially; provides the monotonic clock
     * @param wallMillis the wall clock, in milliseconds since the epoch
     */
    public Loop(Scheduler scheduler, LongSupplier wallMillis) {
        this.scheduler = scheduler;
        this.wallMillis = wallMillis;
    }

    /**
     * Returns the monotonic clock.
     *
     * @return the time in milliseconds
     */
    public long nowMillis() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the monotonic clock and the wall clock.
     *
     * @return the current time on both clocks
     */
    public ClockReading now() {
        return new ClockReading(nowMillis(), wallMillis.getAsLong());
    }

    /**
     * Runs a task on the loop.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        scheduler.scheduleDirect(task);
    }

    /**
     * Runs a task on the loop after a delay.
     *
     * @param delayMillis the delay in milliseconds
     * @param task the task
     * @return a handle that cancels the task
     */
    public Disposable after(long delayMillis, Runnable task) {
        return scheduler.scheduleDirect(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /** Catches errors because the scheduler cancels a periodic task at its first one. */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log(
                    "periodic task failed, will run again at the next period");
        }
    }

    /**
     * Runs a task periodically, even after it has failed.
     *
     * @param periodMillis the period, in milliseconds
     * @param task the task
     * @return a handle that cancels the task
     */
    public Disposable every(long periodMillis, Runnable task) {
        return scheduler.schedulePeriodicallyDirect(
                () -> runSafely(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }
}
