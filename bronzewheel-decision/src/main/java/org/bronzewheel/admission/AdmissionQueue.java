package org.bronzewheel.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.rules.RequestClass;

/**
 * The bounded admission queue of one pool. Request classes are served in strict priority order with
 * a guaranteed minimum share (floor) for each class; workspaces within a class share by weighted
 * fair queueing.
 *
 * <p>Work that cannot meet its deadline is refused on arrival, or dropped as soon as this is known
 * while it is queued. Each operation takes time logarithmic in the number of workspaces. Not
 * thread-safe.
 *
 * @param <T> the type of the work
 */
public final class AdmissionQueue<T> {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double PERCENT = 100;
    private static final double MIN_RATE_PER_NANO = 1e-6;

    private static final Comparator<ClassQueue<?>> SERVICE_ORDER =
            Comparator.<ClassQueue<?>>comparingInt(q -> q.floorCredit > 0 ? 0 : 1)
                    .thenComparingInt(q -> q.requestClass.priority())
                    .thenComparingDouble(q -> q.virtualStart);

    private final int maxQueuedPerClass;
    private final ToIntFunction<String> weights;
    private final TreeMap<RequestClass, ClassQueue<T>> classes =
            new TreeMap<>(
                    Comparator.comparingInt(RequestClass::priority)
                            .thenComparing(RequestClass::name));
    private final RateMeter poolRate = new RateMeter();
    private double virtualTime;
    private long nextSequence;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param maxQueuedPerClass the maximum number of queued work items per class
     * @param weights returns the weight of a workspace, at least 1
     */
    public AdmissionQueue(int maxQueuedPerClass, ToIntFunction<String> weights) {
        this.maxQueuedPerClass = maxQueuedPerClass;
        this.weights = weights;
    }

    /**
     * Enqueues a work item if it passes the admission check.
     *
     * @param item the work item
     * @param request its admission attributes
     * @param nowNanos the current time
     * @return the refusal, or empty if the work item was queued
     */
    public Optional<Refusal> offer(T item, AdmissionRequest request, long nowNanos) {
        Optional<Refusal> refusal = check(request, nowNanos);
        if (refusal.isEmpty()) {
            enqueue(item, request, nowNanos);
        }
        return refusal;
    }

    /**
     * Enqueues a work item without an admission check.
     *
     * @param item the work item
     * @param request its admission attributes
     * @param nowNanos the current time
     */
    public void enqueue(T item, AdmissionRequest request, long nowNanos) {
        Queued<T> queued = new Queued<>(item, request, nextSequence++, nowNanos);
        ClassQueue<T> queue = queueOf(request.requestClass());
        if (queue.isEmpty()) {
            queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
        }
        if (size == 0) {
            poolRate.resume(nowNanos);
        }
        queue.add(queued);
        size++;
    }

    /**
     * Checks whether a work item would be refused now.
     *
     * @param request its admission attributes
     * @param nowNanos the current time
     * @return the refusal, or empty if the work item would be queued
     */
    public Optional<Refusal> check(AdmissionRequest request, long nowNanos) {
        long slackNanos = request.latestStartNanos() - nowNanos;
        if (slackNanos < 0) {
            return Optional.of(deadlineTooShort());
        }
        ClassQueue<T> queue = queueOf(request.requestClass());
        if (queue.size() >= maxQueuedPerClass) {
            return Optional.of(queueTooLong(request.requestClass(), 0));
        }
        double waitNanos = expectedWaitNanos(request, nowNanos);
        if (waitNanos > slackNanos) {
            return Optional.of(queueTooLong(request.requestClass(), waitNanos - slackNanos));
        }
        return Optional.empty();
    }

    /**
     * Estimates how long a work item would wait in the queue.
     *
     * @param request its admission attributes
     * @param nowNanos the current time
     * @return the expected wait in nanoseconds, 0 before the first rate measurement
     */
    public double expectedWaitNanos(AdmissionRequest request, long nowNanos) {
        ClassQueue<T> queue = queueOf(request.requestClass());
        rollWindow(nowNanos);
        if (!poolRate.isKnown()) {
            return 0;
        }
        return queue.waitNanos(request.workspace(), ratePerNano(queue));
    }

    /**
     * Returns the next work item of each request class in service order.
     *
     * @return at most one work item per class, next to be served first
     */
    public List<Queued<T>> heads() {
        List<Queued<T>> heads = new ArrayList<>(classes.size());
        classes.values().stream()
                .filter(queue -> !queue.isEmpty())
                .sorted(SERVICE_ORDER)
                .forEach(queue -> heads.add(queue.head()));
        return heads;
    }

    /**
     * Removes a work item for dispatch and charges its class and workspace.
     *
     * @param queued the work item, as returned by {@link #heads}
     * @param nowNanos the current time
     */
    public void dequeue(Queued<T> queued, long nowNanos) {
        ClassQueue<T> own = queueOf(queued.request().requestClass());
        if (!own.dequeue(queued)) {
            return;
        }
        double cost = queued.request().cost();
        if (poolRate.isMeasuring(nowNanos)) {
            own.dispatchedInWindow += cost;
        }
        decrementSize(nowNanos);
        virtualTime = Math.max(virtualTime, own.virtualStart);
        own.virtualStart += cost;
        if (own.floorCredit > 0) {
            own.floorCredit -= cost;
        }
        for (ClassQueue<T> queue : classes.values()) {
            queue.floorCredit += cost * queue.requestClass.floorPercent() / PERCENT;
            if (queue.isEmpty()) {
                queue.floorCredit = Math.min(0, queue.floorCredit);
            }
        }
    }

    /**
     * Removes a work item whose caller cancelled it.
     *
     * @param queued the work item
     * @param nowNanos the current time
     * @return whether it was still queued
     */
    public boolean remove(Queued<T> queued, long nowNanos) {
        boolean removed = queueOf(queued.request().requestClass()).remove(queued);
        if (removed) {
            decrementSize(nowNanos);
        }
        return removed;
    }

    /**
     * Drops the work items that can no longer meet their deadline.
     *
     * @param nowNanos the current time
     * @return the dropped work items
     */
    public List<Dropped<T>> dropInfeasible(long nowNanos) {
        List<Queued<T>> infeasible = new ArrayList<>();
        rollWindow(nowNanos);
        for (ClassQueue<T> queue : classes.values()) {
            double rate = poolRate.isKnown() ? ratePerNano(queue) : Double.POSITIVE_INFINITY;
            queue.dropInfeasible(nowNanos, rate, infeasible);
        }
        infeasible.forEach(q -> decrementSize(nowNanos));
        return infeasible.stream()
                .map(q -> new Dropped<>(q.item(), queueTooLong(q.request().requestClass(), 0)))
                .toList();
    }

    /**
     * Returns the number of queued work items.
     *
     * @return the number over all classes
     */
    public int size() {
        return size;
    }

    /**
     * Estimates the service rate of a class: the pool rate less the rates of higher-priority
     * classes and the floors of lower-priority ones, but at least the floor of the class.
     */
    private double ratePerNano(ClassQueue<T> own) {
        double available = poolRate.ratePerNano();
        double floor = available * own.requestClass.floorPercent() / PERCENT;
        int classesOfPriority = 1;
        for (ClassQueue<T> queue : classes.values()) {
            int order = Integer.compare(queue.requestClass.priority(), own.requestClass.priority());
            if (order < 0) {
                available -= queue.dispatchedPerNano;
            } else if (order > 0 && !queue.isEmpty()) {
                available -= poolRate.ratePerNano() * queue.requestClass.floorPercent() / PERCENT;
            } else if (order == 0 && queue != own && !queue.isEmpty()) {
                classesOfPriority++;
            }
        }
        return Math.max(MIN_RATE_PER_NANO, Math.max(floor, available / classesOfPriority));
    }

    private void decrementSize(long nowNanos) {
        size--;
        if (size == 0) {
            poolRate.pause(nowNanos);
        }
    }

    private void rollWindow(long nowNanos) {
        if (!poolRate.isWindowComplete(nowNanos)) {
            return;
        }
        double total = 0;
        for (ClassQueue<T> queue : classes.values()) {
            double cost = queue.dispatchedInWindow;
            queue.dispatchedPerNano = poolRate.smoothPart(queue.dispatchedPerNano, cost, nowNanos);
            queue.dispatchedInWindow = 0;
            total += cost;
        }
        poolRate.closeWindow(total, nowNanos);
    }

    private ClassQueue<T> queueOf(RequestClass requestClass) {
        return classes.computeIfAbsent(requestClass, c -> new ClassQueue<>(c, weights));
    }

    private static Refusal deadlineTooShort() {
        String detail = "the remaining time does not suffice for the stages that are left";
        return new Refusal(ErrorCode.DEADLINE_TOO_SHORT, detail, 0);
    }

    private static Refusal queueTooLong(RequestClass requestClass, double waitNanos) {
        long retryAfterMillis = Math.max(1, (long) Math.ceil(waitNanos / NANOS_PER_MILLI));
        String detail = "the queue of class " + requestClass.name() + " is too long";
        return new Refusal(ErrorCode.OVERLOADED, detail, retryAfterMillis);
    }
}
