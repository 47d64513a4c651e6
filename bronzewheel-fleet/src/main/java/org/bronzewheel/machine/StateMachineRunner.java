package org.bronzewheel.machine;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Peer;

/**
 * Runs a state machine under a lock.
 *
 * <p>Messages and events are delivered one at a time, in the order of the steps that produced them,
 * after the lock is released; so a receiver of events may call the runner again.
 *
 * @param <M> the type of messages between peers
 * @param <E> the type of events, decisions for this router
 */
public final class StateMachineRunner<M, E> implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final StateMachine<M, E> machine;
    private final Consumer<Outgoing<M>> sender;
    private final Consumer<E> receiver;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final long tickMillis;
    private final ReentrantLock lock = new ReentrantLock();
    private final Queue<Step<M, E>> steps = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingSteps = new AtomicInteger();
    private volatile Disposable ticks;

    /**
     * Creates a runner; the machine must be used only through it.
     *
     * @param machine the state machine
     * @param sender sends messages; must not block
     * @param receiver receives the events; must not block
     * @param scheduler runs the ticks
     * @param nanoClock reads the monotonic time, in nanoseconds
     * @param tickMillis time between ticks, in milliseconds
     */
    public StateMachineRunner(
            StateMachine<M, E> machine,
            Consumer<Outgoing<M>> sender,
            Consumer<E> receiver,
            Scheduler scheduler,
            LongSupplier nanoClock,
            long tickMillis) {
        this.machine = machine;
        this.sender = sender;
        this.receiver = receiver;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
        this.tickMillis = tickMillis;
    }

    @Override
    public void start() {
        ticks =
                scheduler.schedulePeriodicallyDirect(
                        () -> apply(machine::tick), 0, tickMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        Disposable running = ticks;
        if (running != null) {
            running.dispose();
            ticks = null;
        }
    }

    /**
     * Passes a message to the machine; it is dropped before the start and after the stop.
     *
     * @param from the sender
     * @param message the message
     */
    public void receive(Peer from, M message) {
        if (ticks != null) {
            apply(nowNanos -> machine.receive(from, message, nowNanos));
        }
    }

    /**
     * Applies an input other than a message or a tick to the machine.
     *
     * @param input applies the input to the machine at the given monotonic time, in nanoseconds
     */
    public void apply(LongFunction<Step<M, E>> input) {
        lock.lock();
        try {
            Step<M, E> step = input.apply(nanoClock.getAsLong());
            if (step.messages().isEmpty() && step.events().isEmpty()) {
                return;
            }
            steps.add(step);
        } finally {
            lock.unlock();
        }
        deliver();
    }

    /**
     * Queries the state of the machine under the lock.
     *
     * @param query reads the machine at the given monotonic time, in nanoseconds
     * @param <R> the type of the result
     * @return the result
     */
    public <R> R query(LongFunction<R> query) {
        lock.lock();
        try {
            return query.apply(nanoClock.getAsLong());
        } finally {
            lock.unlock();
        }
    }

    /** Delivers all pending steps, unless another thread is already doing so. */
    private void deliver() {
        if (pendingSteps.getAndIncrement() != 0) {
            return;
        }
        do {
            Step<M, E> step = steps.poll();
            step.messages().forEach(message -> deliverSafely(() -> sender.accept(message)));
            step.events().forEach(event -> deliverSafely(() -> receiver.accept(event)));
        } while (pendingSteps.decrementAndGet() != 0);
    }

    private void deliverSafely(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "failed to deliver a message or event of state machine %s", machine);
        }
    }
}
