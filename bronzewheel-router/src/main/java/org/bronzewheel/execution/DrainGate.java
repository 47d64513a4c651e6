package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;

/** A count of work in progress that can be closed to new work and then waits for the rest. */
public final class DrainGate {
    private final CompletableSubject drained = CompletableSubject.create();
    private int inProgress;
    private boolean closed;

    /**
     * Lets a piece of work in.
     *
     * @return false where the gate is closed
     */
    public synchronized boolean tryEnter() {
        if (closed) {
            return false;
        }
        inProgress++;
        return true;
    }

    /** Lets a piece of work in that belongs to admitted work, also once the gate is closed. */
    public synchronized void enter() {
        inProgress++;
    }

    /** Ends a piece of work. */
    public void exit() {
        boolean last;
        synchronized (this) {
            inProgress--;
            last = closed && inProgress == 0;
        }
        if (last) {
            drained.onComplete();
        }
    }

    /**
     * Closes the gate to new work.
     *
     * @return completes once all work in progress has ended
     */
    public Completable close() {
        boolean empty;
        synchronized (this) {
            closed = true;
            empty = inProgress == 0;
        }
        if (empty) {
            drained.onComplete();
        }
        return drained;
    }

    /**
     * Tells whether the gate is closed.
     *
     * @return true from {@link #close} on
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Returns the amount of work in progress.
     *
     * @return pieces of work
     */
    public synchronized int inProgress() {
        return inProgress;
    }
}
