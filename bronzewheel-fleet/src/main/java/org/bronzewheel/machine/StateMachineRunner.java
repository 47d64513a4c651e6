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
 * A host that runs a state machine behind one lock.
 *
 * <p>Messages and events leave in the order of the steps that made them, one at a time, after the
 * lock is released; so a receiver of events may call the host again.
 *
 * @param <M> messages between peers
 * @param <E> decisions for the own router
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
    private final AtomicInteger undelivered = new AtomicInteger();
    private volatile Disposable ticks;

    /**
     * Creates a host; the machine must be used through it only.
     *
     * @param machine the state machine
     * @param sender sends messages; must not block
     * @param receiver takes events; must not block
     * @param scheduler runs the ticks
     * @param nanoClock the monotonic time, in nanoseconds
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
     * Hands a message to the machine; before the start and after the stop it is dropped.
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
     * Gives the machine an input of its own kind.
     *
     * @param input applies the input at the given monotonic time, in nanoseconds
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
     * Reads the machine under its lock.
     *
     * @param question reads the machine at the given monotonic time, in nanoseconds
     * @param <R> the type of the answer
     * @return the answer
     */
    public <R> R query(LongFunction<R> question) {
        lock.lock();
        try {
            return question.apply(nanoClock.getAsLong());
        } finally {
            lock.unlock();
        }
    }

    /** Delivers all steps; where another thread is doing so, leaves them to it. */
    private void deliver() {
        if (undelivered.getAndIncrement() != 0) {
            return;
        }
        do {
            Step<M, E> step = steps.poll();
            step.messages().forEach(message -> guarded(() -> sender.accept(message)));
            step.events().forEach(event -> guarded(() -> receiver.accept(event)));
        } while (undelivered.decrementAndGet() != 0);
    }

    private void guarded(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("a step of %s was not delivered", machine);
        }
    }
}
