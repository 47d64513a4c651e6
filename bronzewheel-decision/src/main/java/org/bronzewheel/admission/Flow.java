package org.bronzewheel.admission;

import java.util.Comparator;
import java.util.TreeSet;

/** The queued work of one workspace in one request class, ordered by latest start time. */
final class Flow<T> {
    final String workspace;
    final int weight;
    final TreeSet<Queued<T>> work =
            new TreeSet<>(
                    Comparator.<Queued<T>>comparingLong(q -> q.request().latestStartNanos())
                            .thenComparingLong(Queued::sequence));
    double queuedCost;
    double virtualStart;
    double virtualFinish;
    long order;

    Flow(String workspace, int weight) {
        this.workspace = workspace;
        this.weight = weight;
    }

    void add(Queued<T> queued) {
        work.add(queued);
        queuedCost += queued.request().cost();
    }

    boolean remove(Queued<T> queued) {
        if (!work.remove(queued)) {
            return false;
        }
        queuedCost = work.isEmpty() ? 0 : queuedCost - queued.request().cost();
        return true;
    }
}
