package org.bronzewheel.standin;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A fixed number of workers behind a queue in order of priority, then of arrival. */
final class WorkQueue {
    private static final Comparator<Ticket> ORDER =
            Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number);

    private final int workers;
    private final PriorityQueue<Ticket> waiting = new PriorityQueue<>(ORDER);
    private int inFlight;
    private long submitted;

    WorkQueue(int workers) {
        this.workers = workers;
    }

    /** Work that waits for a worker. */
    record Ticket(int priority, long number, Runnable work) {}

    Ticket submit(int priority, Runnable work) {
        Ticket ticket;
        synchronized (this) {
            ticket = new Ticket(priority, submitted++, work);
            if (inFlight >= workers) {
                waiting.add(ticket);
                return ticket;
            }
            inFlight++;
        }
        work.run();
        return ticket;
    }

    /** Takes back work that has not started; false where it has. */
    synchronized boolean withdraw(Ticket ticket) {
        return waiting.remove(ticket);
    }

    /** Gives a worker back; the next waiting work starts. */
    void release() {
        Ticket next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                inFlight--;
                return;
            }
        }
        next.work().run();
    }

    synchronized int inFlight() {
        return inFlight;
    }

    synchronized int queued() {
        return waiting.size();
    }
}
