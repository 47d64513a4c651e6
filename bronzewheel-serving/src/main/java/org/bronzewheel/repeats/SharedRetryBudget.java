package org.bronzewheel.repeats;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The retry budget of each service, split among the routers without shared state. Any repeated send
 * counts as a retry.
 *
 * <p>In any window this router retries at most a fixed ratio of its own requests plus its share of
 * a fixed slack. The shares of all routers add up to at most the slack as long as no router assumes
 * fewer routers than there are.
 */
public final class SharedRetryBudget {
    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final Map<String, Window> requests = new HashMap<>();
    private final Map<String, Window> retries = new HashMap<>();
    private int routers;

    /**
     * Creates a budget.
     *
     * @param ratio the retries allowed per request
     * @param slack the additional retries per window, shared by all routers
     * @param windowMillis the length of the window, in milliseconds
     * @param routers the initial number of routers; too large a number is safe, too small a one is
     *     not
     */
    public SharedRetryBudget(double ratio, double slack, long windowMillis, int routers) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
        this.routers = routers;
    }

    /**
     * Sets the number of routers that share the budget.
     *
     * @param count the number, this router included
     */
    public void setRouters(int count) {
        routers = Math.max(1, count);
    }

    /**
     * Returns the number of routers that share the budget.
     *
     * @return the number, this router included
     */
    public int routers() {
        return routers;
    }

    /** The events of the current window, with the sum of their weights. */
    private static final class Window {
        private final ArrayDeque<Event> events = new ArrayDeque<>();
        private double sum;

        void add(double weight, long nowMillis) {
            events.add(new Event(weight, nowMillis));
            sum += weight;
        }

        void removeUntil(long millis) {
            while (!events.isEmpty() && events.peek().atMillis() <= millis) {
                sum -= events.poll().weight();
            }
        }
    }

    private record Event(double weight, long atMillis) {}

    /**
     * Records a request of a caller.
     *
     * @param service the service that is to run it
     * @param part the fraction of the retries allowed for the request that this router may use; the
     *     fractions of all routers that record the request add up to at most 1
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordRequest(String service, double part, long nowMillis) {
        window(requests, service, nowMillis).add(part, nowMillis);
    }

    /**
     * Spends one retry if the budget allows it.
     *
     * @param service the service that is to run it
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether the retry may be sent
     */
    public boolean tryRetry(String service, long nowMillis) {
        if (!canRetry(service, nowMillis)) {
            return false;
        }
        window(retries, service, nowMillis).add(1, nowMillis);
        return true;
    }

    /**
     * Returns whether the budget allows a retry.
     *
     * @param service the service that is to run it
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether {@link #tryRetry} would succeed
     */
    public boolean canRetry(String service, long nowMillis) {
        double allowed = ratio * window(requests, service, nowMillis).sum + slack / routers;
        return window(retries, service, nowMillis).events.size() + 1 <= allowed;
    }

    private Window window(Map<String, Window> windows, String service, long nowMillis) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.removeUntil(nowMillis - windowMillis);
        return window;
    }
}
