package org.bronzewheel.loop;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.catalog.ClockReading;

/** The one thread of a router's serving part, with its clocks and timers. */
public final class Loop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Scheduler scheduler;
    private final LongSupplier wallMillis;

    /**
     * Creates a loop.
     *
     * @param scheduler runs tasks one after the other; its time is the steady clock
     * @param wallMillis the time of day, in milliseconds since 1970
     */
    public Loop(Scheduler scheduler, LongSupplier wallMillis) {
        this.scheduler = scheduler;
        this.wallMillis = wallMillis;
    }

    /**
     * Returns the steady clock.
     *
     * @return the time in milliseconds
     */
    public long nowMillis() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    /**
     * Returns both clocks.
     *
     * @return this moment
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
     * Runs a task later.
     *
     * @param delayMillis the delay in milliseconds
     * @param task the task
     * @return cancels the task
     */
    public Disposable after(long delayMillis, Runnable task) {
        return scheduler.scheduleDirect(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /** A scheduler ends a periodic task at its first error. */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("a periodic task failed; it goes on");
        }
    }

    /**
     * Runs a task again and again, also after it has failed.
     *
     * @param periodMillis the time between two runs, in milliseconds
     * @param task the task
     * @return cancels the task
     */
    public Disposable every(long periodMillis, Runnable task) {
        return scheduler.schedulePeriodicallyDirect(
                () -> runSafely(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }
}
