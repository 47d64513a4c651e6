package org.bronzewheel.repeats;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The budget of repeated sends of each service, split over the routers without shared state.
 *
 * <p>In any window this router repeats at most a share of its own requests and its part of a fixed
 * number. The parts of all routers add up to no more than the whole as long as no router assumes
 * fewer routers than there are.
 */
public final class SharedRetryBudget {
    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final Map<String, Window> requests = new HashMap<>();
    private final Map<String, Window> repeats = new HashMap<>();
    private int routers;

    /**
     * Creates a budget.
     *
     * @param ratio the repeats that each request allows
     * @param slack the repeats in a window that all routers share beside
     * @param windowMillis the length of the window, in milliseconds
     * @param routers the number of routers at first; better too large than too small
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
     * Returns the number of routers that share what is limited.
     *
     * @return the number, this router included
     */
    public int routers() {
        return routers;
    }

    /** What was booked lately, with its sum. */
    private static final class Window {
        private final ArrayDeque<Booked> booked = new ArrayDeque<>();
        private double sum;

        void add(double weight, long nowMillis) {
            booked.add(new Booked(weight, nowMillis));
            sum += weight;
        }

        void forgetUntil(long millis) {
            while (!booked.isEmpty() && booked.peek().atMillis() <= millis) {
                sum -= booked.poll().weight();
            }
        }
    }

    private record Booked(double weight, long atMillis) {}

    /**
     * Books a request of a caller.
     *
     * @param service the service that is to run it
     * @param part the part of the repeats that it allows which this router may use; the parts of
     *     all routers that book it add up to at most 1
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordRequest(String service, double part, long nowMillis) {
        window(requests, service, nowMillis).add(part, nowMillis);
    }

    /**
     * Takes a repeat where the budget allows one.
     *
     * @param service the service that is to run it
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether the repeat may be sent
     */
    public boolean tryRetry(String service, long nowMillis) {
        if (!canRetry(service, nowMillis)) {
            return false;
        }
        window(repeats, service, nowMillis).add(1, nowMillis);
        return true;
    }

    /**
     * Tells whether the budget allows a repeat.
     *
     * @param service the service that is to run it
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether {@link #tryRetry} would take one
     */
    public boolean canRetry(String service, long nowMillis) {
        double allowed = ratio * window(requests, service, nowMillis).sum + slack / routers;
        return window(repeats, service, nowMillis).booked.size() + 1 <= allowed;
    }

    private Window window(Map<String, Window> windows, String service, long nowMillis) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.forgetUntil(nowMillis - windowMillis);
        return window;
    }
}
