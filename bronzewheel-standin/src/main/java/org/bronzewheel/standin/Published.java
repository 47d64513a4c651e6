package org.bronzewheel.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * A published value with a growing revision, and those who wait for the next one.
 *
 * @param <T> the type of the value
 */
final class Published<T> {
    private final List<Runnable> watchers = new ArrayList<>();
    private Versioned<T> newest;
    private Versioned<T> served;
    private boolean stale;

    Published(T initial) {
        newest = new Versioned<>(0, initial);
        served = newest;
    }

    /** A value and its revision. */
    record Versioned<T>(long revision, T value) {}

    long publish(T value) {
        List<Runnable> woken;
        long revision;
        synchronized (this) {
            revision = newest.revision() + 1;
            newest = new Versioned<>(revision, value);
            woken = serveNewest();
        }
        woken.forEach(Runnable::run);
        return revision;
    }

    void setStale(boolean value) {
        List<Runnable> woken;
        synchronized (this) {
            stale = value;
            woken = serveNewest();
        }
        woken.forEach(Runnable::run);
    }

    synchronized Versioned<T> served() {
        return served;
    }

    synchronized Versioned<T> newest() {
        return newest;
    }

    /** Calls the watcher once where the served revision grows; the caller reads first. */
    synchronized void watch(Runnable watcher) {
        watchers.add(watcher);
    }

    synchronized void unwatch(Runnable watcher) {
        watchers.remove(watcher);
    }

    private List<Runnable> serveNewest() {
        if (stale || served.revision() == newest.revision()) {
            return List.of();
        }
        served = newest;
        List<Runnable> woken = List.copyOf(watchers);
        watchers.clear();
        return woken;
    }
}
