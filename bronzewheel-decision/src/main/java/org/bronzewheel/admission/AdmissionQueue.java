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
 * The bounded queue of one pool: strict preference by request class with a floor for each, and
 * weighted fair between workspaces within a class.
 *
 * <p>Work that cannot be in time is refused when it comes, and dropped as soon as that becomes
 * known while it waits. The cost of each operation grows with the logarithm of the number of
 * workspaces. Not safe for use by several threads.
 *
 * @param <T> the type of the work
 */
public final class AdmissionQueue<T> {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double PERCENT = 100;
    private static final double MIN_RATE_PER_NANO = 1e-6;

    private static final Comparator<ClassQueue<?>> ORDER_OF_SERVICE =
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
     * @param maxQueuedPerClass the largest number of pieces of work that wait in one class
     * @param weights gives the weight of a workspace, at least 1
     */
    public AdmissionQueue(int maxQueuedPerClass, ToIntFunction<String> weights) {
        this.maxQueuedPerClass = maxQueuedPerClass;
        this.weights = weights;
    }

    /**
     * Takes a piece of work into the queue, or refuses it.
     *
     * @param item the work
     * @param request what it asks
     * @param nowNanos the present time
     * @return the refusal, or empty where the work is queued
     */
    public Optional<Refusal> offer(T item, AdmissionRequest request, long nowNanos) {
        Optional<Refusal> refusal = check(request, nowNanos);
        if (refusal.isEmpty()) {
            enqueue(item, request, nowNanos);
        }
        return refusal;
    }

    /**
     * Takes a piece of work into the queue without a check.
     *
     * @param item the work
     * @param request what it asks
     * @param nowNanos the present time
     */
    public void enqueue(T item, AdmissionRequest request, long nowNanos) {
        Queued<T> queued = new Queued<>(item, request, nextSequence++, nowNanos);
        ClassQueue<T> queue = queueOf(request.requestClass());
        if (queue.isEmpty()) {
            queue.virtualStart = Math.max(queue.virtualStart, virtualTime);
        }
        if (size == 0) {
            poolRate.begin(nowNanos);
        }
        queue.add(queued);
        size++;
    }

    /**
     * Tells whether a piece of work would be refused now.
     *
     * @param request what it asks
     * @param nowNanos the present time
     * @return the refusal, or empty
     */
    public Optional<Refusal> check(AdmissionRequest request, long nowNanos) {
        long slackNanos = request.latestStartNanos() - nowNanos;
        if (slackNanos < 0) {
            return Optional.of(tooShort());
        }
        ClassQueue<T> queue = queueOf(request.requestClass());
        if (queue.size() >= maxQueuedPerClass) {
            return Optional.of(overloaded(request.requestClass(), 0));
        }
        double waitNanos = expectedWaitNanos(request, nowNanos);
        if (waitNanos > slackNanos) {
            return Optional.of(overloaded(request.requestClass(), waitNanos - slackNanos));
        }
        return Optional.empty();
    }

    /**
     * Returns the time until a piece of work would start.
     *
     * @param request what it asks
     * @param nowNanos the present time
     * @return the expected wait in nanoseconds, 0 where nothing is known
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
     * Returns the next work of each request class in the order of service.
     *
     * @return at most one piece of work for each class, the first to be served first
     */
    public List<Queued<T>> heads() {
        List<Queued<T>> heads = new ArrayList<>(classes.size());
        classes.values().stream()
                .filter(queue -> !queue.isEmpty())
                .sorted(ORDER_OF_SERVICE)
                .forEach(queue -> heads.add(queue.head()));
        return heads;
    }

    /**
     * Removes a piece of work because it is dispatched.
     *
     * @param queued the work, as returned by {@link #heads}
     * @param nowNanos the present time
     */
    public void dequeue(Queued<T> queued, long nowNanos) {
        ClassQueue<T> own = queueOf(queued.request().requestClass());
        if (!own.dequeue(queued)) {
            return;
        }
        double cost = queued.request().cost();
        if (poolRate.isMeasuring(nowNanos)) {
            own.takenInWindow += cost;
        }
        shrink(nowNanos);
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
     * Removes a piece of work that its caller gave up.
     *
     * @param queued the work
     * @param nowNanos the present time
     * @return whether it was still queued
     */
    public boolean remove(Queued<T> queued, long nowNanos) {
        boolean removed = queueOf(queued.request().requestClass()).remove(queued);
        if (removed) {
            shrink(nowNanos);
        }
        return removed;
    }

    /**
     * Drops the work that can no longer be in time.
     *
     * @param nowNanos the present time
     * @return what was dropped
     */
    public List<Dropped<T>> dropInfeasible(long nowNanos) {
        List<Queued<T>> infeasible = new ArrayList<>();
        rollWindow(nowNanos);
        for (ClassQueue<T> queue : classes.values()) {
            double rate = poolRate.isKnown() ? ratePerNano(queue) : Double.POSITIVE_INFINITY;
            queue.dropInfeasible(nowNanos, rate, infeasible);
        }
        infeasible.forEach(q -> shrink(nowNanos));
        return infeasible.stream()
                .map(q -> new Dropped<>(q.item(), overloaded(q.request().requestClass(), 0)))
                .toList();
    }

    /**
     * Returns the number of pieces of work that wait.
     *
     * @return the number over all classes
     */
    public int size() {
        return size;
    }

    /** Returns what a class gets: what earlier classes and the floors of later ones leave. */
    private double ratePerNano(ClassQueue<T> own) {
        double left = poolRate.ratePerNano();
        double floor = left * own.requestClass.floorPercent() / PERCENT;
        int peers = 1;
        for (ClassQueue<T> queue : classes.values()) {
            int order = Integer.compare(queue.requestClass.priority(), own.requestClass.priority());
            if (order < 0) {
                left -= queue.takenPerNano;
            } else if (order > 0 && !queue.isEmpty()) {
                left -= poolRate.ratePerNano() * queue.requestClass.floorPercent() / PERCENT;
            } else if (order == 0 && queue != own && !queue.isEmpty()) {
                peers++;
            }
        }
        return Math.max(MIN_RATE_PER_NANO, Math.max(floor, left / peers));
    }

    private void shrink(long nowNanos) {
        size--;
        if (size == 0) {
            poolRate.end(nowNanos);
        }
    }

    private void rollWindow(long nowNanos) {
        if (!poolRate.isDue(nowNanos)) {
            return;
        }
        double total = 0;
        for (ClassQueue<T> queue : classes.values()) {
            double cost = queue.takenInWindow;
            queue.takenPerNano = poolRate.smoothPart(queue.takenPerNano, cost, nowNanos);
            queue.takenInWindow = 0;
            total += cost;
        }
        poolRate.close(total, nowNanos);
    }

    private ClassQueue<T> queueOf(RequestClass requestClass) {
        return classes.computeIfAbsent(requestClass, c -> new ClassQueue<>(c, weights));
    }

    private static Refusal tooShort() {
        String detail = "the remaining time does not suffice for the stages that are left";
        return new Refusal(ErrorCode.DEADLINE_TOO_SHORT, detail, 0);
    }

    private static Refusal overloaded(RequestClass requestClass, double waitNanos) {
        long retryAfterMillis = Math.max(1, (long) Math.ceil(waitNanos / NANOS_PER_MILLI));
        String detail = "the queue of class " + requestClass.name() + " is too long";
        return new Refusal(ErrorCode.OVERLOADED, detail, retryAfterMillis);
    }
}
