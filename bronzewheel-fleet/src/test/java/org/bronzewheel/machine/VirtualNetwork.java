package org.bronzewheel.machine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/** A simulated network and clock in virtual time with fault injection, reproducible from a seed. */
public final class VirtualNetwork {
    private record Event(long atNanos, long order, Runnable work) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<String, Queue<Runnable>> paused = new HashMap<>();
    private final SplittableRandom random;
    private BiPredicate<String, String> partition = (from, to) -> false;
    private double loss;
    private double duplication;
    private long minDelayMicros = 200;
    private long maxDelayMicros = 2_000;
    private long nowNanos = 1;
    private long order;

    public VirtualNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    public SplittableRandom random() {
        return random;
    }

    public long nowNanos() {
        return nowNanos;
    }

    public void setFaults(double newLoss, double newDuplication) {
        loss = newLoss;
        duplication = newDuplication;
    }

    public void setDelay(long newMinMicros, long newMaxMicros) {
        minDelayMicros = newMinMicros;
        maxDelayMicros = newMaxMicros;
    }

    /** Drops all messages from a first to a second VM for which the predicate is true. */
    public void setPartition(BiPredicate<String, String> newPartition) {
        partition = newPartition;
    }

    public void after(long delayMillis, Runnable work) {
        schedule(TimeUnit.MILLISECONDS.toNanos(delayMillis), work);
    }

    /** Runs work on a VM: immediately, or once a paused VM is resumed. */
    public void runOn(String vmId, Runnable work) {
        Queue<Runnable> backlog = paused.get(vmId);
        if (backlog == null) {
            work.run();
        } else {
            backlog.add(work);
        }
    }

    public void pause(String vmId) {
        paused.putIfAbsent(vmId, new ArrayDeque<>());
    }

    public void resume(String vmId) {
        Queue<Runnable> backlog = paused.remove(vmId);
        if (backlog != null) {
            backlog.forEach(work -> schedule(0, () -> runOn(vmId, work)));
        }
    }

    public List<String> pausedVms() {
        return new ArrayList<>(paused.keySet());
    }

    /** Delivers a message subject to the current faults. */
    public void deliver(String from, String to, Runnable delivery) {
        if (partition.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayMicros = random.nextLong(minDelayMicros, maxDelayMicros + 1);
            schedule(TimeUnit.MICROSECONDS.toNanos(delayMicros), () -> runOn(to, delivery));
        }
    }

    public void runFor(long millis) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.work().run();
        }
        nowNanos = endNanos;
    }

    private void schedule(long delayNanos, Runnable work) {
        events.add(new Event(nowNanos + delayNanos, order++, work));
    }
}
