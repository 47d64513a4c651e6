package org.bronzewheel.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of events in virtual time. */
final class EventLoop {
    private static final double NANOS_PER_MILLI = 1e6;

    private record Event(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    void afterMillis(double delayMillis, Runnable action) {
        after((long) (delayMillis * NANOS_PER_MILLI), action);
    }

    void after(long delayNanos, Runnable action) {
        long atNanos = nowNanos + Math.max(0, delayNanos);
        events.add(new Event(atNanos, nextSequence++, action));
    }

    /** Runs events until a time, or until none is left. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }
}
