package org.bronzewheel.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.bronzewheel.rules.RequestClass;

/** The queue of one request class. Workspaces share it by weighted start-time fair queueing. */
final class ClassQueue<T> {
    final RequestClass requestClass;
    double floorCredit;
    double virtualStart;
    double dispatchedInWindow;
    double dispatchedPerNano;

    private final ToIntFunction<String> weights;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> backlogged =
            new TreeSet<>(
                    Comparator.<Flow<T>>comparingDouble(f -> f.virtualStart)
                            .thenComparingLong(f -> f.order));
    private double virtualTime;
    private double queuedCost;
    private long backloggedWeight;
    private int size;
    private long nextOrder;

    ClassQueue(RequestClass requestClass, ToIntFunction<String> weights) {
        this.requestClass = requestClass;
        this.weights = weights;
    }

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    double queuedCost() {
        return queuedCost;
    }

    void add(Queued<T> queued) {
        String workspace = queued.request().workspace();
        Flow<T> flow = flows.get(workspace);
        if (flow == null) {
            flow = new Flow<>(workspace, Math.max(1, weights.applyAsInt(workspace)));
            flow.order = nextOrder++;
            flows.put(workspace, flow);
        }
        flow.add(queued);
        queuedCost += queued.request().cost();
        size++;
        if (flow.work.size() == 1) {
            flow.virtualStart = Math.max(virtualTime, flow.virtualFinish);
            backloggedWeight += flow.weight;
            backlogged.add(flow);
        }
    }

    /** Returns the next work item, or null if the queue is empty. */
    Queued<T> head() {
        return backlogged.isEmpty() ? null : backlogged.first().work.first();
    }

    /** Removes a work item for dispatch and charges its workspace. */
    boolean dequeue(Queued<T> queued) {
        Flow<T> flow = flows.get(queued.request().workspace());
        if (flow == null || !flow.work.contains(queued)) {
            return false;
        }
        double cost = queued.request().cost();
        backlogged.remove(flow);
        virtualTime = Math.max(virtualTime, flow.virtualStart);
        flow.virtualFinish = flow.virtualStart + cost / flow.weight;
        flow.virtualStart = flow.virtualFinish;
        if (flow.work.size() > 1) {
            backlogged.add(flow);
        }
        removeFromFlow(flow, queued);
        return true;
    }

    /** Removes a work item that will not be dispatched. */
    boolean remove(Queued<T> queued) {
        Flow<T> flow = flows.get(queued.request().workspace());
        if (flow == null || !flow.work.contains(queued)) {
            return false;
        }
        if (flow.work.size() == 1) {
            backlogged.remove(flow);
        }
        removeFromFlow(flow, queued);
        return true;
    }

    /** Removes work items that cannot start in time and adds them to a list. */
    void dropInfeasible(long nowNanos, double ratePerNano, List<Queued<T>> dropped) {
        for (Flow<T> flow : List.copyOf(backlogged)) {
            while (!flow.work.isEmpty()
                    && flow.work.first().request().latestStartNanos() < nowNanos) {
                drop(flow.work.first(), dropped);
            }
            while (!flow.work.isEmpty() && lastIsInfeasible(flow, nowNanos, ratePerNano)) {
                drop(flow.work.last(), dropped);
            }
        }
    }

    /** Estimates the wait of a new work item of a workspace, in nanoseconds. */
    double waitNanos(String workspace, double ratePerNano) {
        Flow<T> flow = flows.get(workspace);
        if (flow == null || flow.work.isEmpty()) {
            return 0;
        }
        return waitNanos(flow, flow.queuedCost, queuedCost, ratePerNano);
    }

    /**
     * Estimates the wait as the work ahead in the workspace divided by its share of the rate,
     * bounded by all the work ahead in the class.
     */
    private double waitNanos(Flow<T> flow, double aheadInFlow, double ahead, double ratePerNano) {
        double shared = aheadInFlow * backloggedWeight / flow.weight;
        return Math.min(shared, ahead) / ratePerNano;
    }

    private boolean lastIsInfeasible(Flow<T> flow, long nowNanos, double ratePerNano) {
        Queued<T> last = flow.work.last();
        double cost = last.request().cost();
        double wait = waitNanos(flow, flow.queuedCost - cost, queuedCost - cost, ratePerNano);
        return nowNanos + wait > last.request().latestStartNanos();
    }

    private void drop(Queued<T> queued, List<Queued<T>> dropped) {
        remove(queued);
        dropped.add(queued);
    }

    private void removeFromFlow(Flow<T> flow, Queued<T> queued) {
        flow.remove(queued);
        size--;
        queuedCost = size == 0 ? 0 : queuedCost - queued.request().cost();
        if (flow.work.isEmpty()) {
            backloggedWeight -= flow.weight;
        }
    }
}
