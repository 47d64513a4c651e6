package org.bronzewheel.upstreams;

import java.util.HashMap;
import java.util.Map;

/**
 * An estimate of the load that all other routers together put on each upstream, from reports of
 * their own load. A router hears only a few of the others within the time in which load changes, so
 * the mean of the recent reports is multiplied by the number of the other routers. An upstream that
 * a report does not name has no load of that router.
 *
 * <p>A report loses weight within {@value #DECAY_MILLIS} ms, and without reports the estimate falls
 * to 0, so that the reports of a dead or unreachable router stop counting. Confined to the serving
 * loop.
 */
public final class OtherRoutersLoad {
    /**
     * The time in which the weight of a report decays to 1/e, in milliseconds: about the time that
     * an engine needs for the prompts ahead of a new one.
     */
    private static final int DECAY_MILLIS = 500;

    /**
     * The weight of reports below which the estimate is lowered. In normal operation the weight is
     * 7, as 14 reports are received per second.
     */
    private static final double MIN_WEIGHT = 2;

    /** Several times the number of upstreams that a router is designed for. */
    private static final int MAX_UPSTREAMS = 4_096;

    /** The number of calls below which an entry is dropped once there are too many. */
    private static final double NEGLIGIBLE_CALLS = 0.01;

    private final Map<Integer, Load> loads = new HashMap<>();
    private double weight;
    private long weightMillis;
    private int otherRouters;

    private static final class Load {
        private double calls;
        private double promptTokens;
        private long updatedMillis;

        void decay(long nowMillis) {
            double decay = decayFactor(updatedMillis, nowMillis);
            calls *= decay;
            promptTokens *= decay;
            updatedMillis = nowMillis;
        }
    }

    /**
     * Begins a report of another router; its upstreams follow.
     *
     * @param routers the number of other routers
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void beginReport(int routers, long nowMillis) {
        otherRouters = routers;
        weight = weight * decayFactor(weightMillis, nowMillis) + 1;
        weightMillis = nowMillis;
    }

    /**
     * Adds the load on one upstream to the report that was begun last.
     *
     * @param loadKey the {@link Upstream#loadKey} of the upstream
     * @param calls the requests of that router in progress
     * @param promptTokens their prompt tokens that were not processed yet
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void add(int loadKey, int calls, int promptTokens, long nowMillis) {
        Load load = loads.get(loadKey);
        if (load == null) {
            if (loads.size() >= MAX_UPSTREAMS) {
                removeNegligible(nowMillis);
            }
            if (loads.size() >= MAX_UPSTREAMS) {
                return;
            }
            load = new Load();
            loads.put(loadKey, load);
        }
        load.decay(nowMillis);
        load.calls += calls;
        load.promptTokens += promptTokens;
    }

    private void removeNegligible(long nowMillis) {
        loads.values().forEach(load -> load.decay(nowMillis));
        loads.values().removeIf(load -> load.calls < NEGLIGIBLE_CALLS);
    }

    /**
     * Returns the estimated requests of other routers in progress at an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number; 0 without reports
     */
    public double calls(Upstream upstream, long nowMillis) {
        Load load = loads.get(upstream.loadKey());
        return load == null ? 0 : scale(load.calls, load.updatedMillis, nowMillis);
    }

    /**
     * Returns the estimated prompt tokens of other routers that wait at an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number; 0 without reports
     */
    public double promptTokens(Upstream upstream, long nowMillis) {
        Load load = loads.get(upstream.loadKey());
        return load == null ? 0 : scale(load.promptTokens, load.updatedMillis, nowMillis);
    }

    private double scale(double value, long updatedMillis, long nowMillis) {
        return value
                * decayFactor(updatedMillis, nowMillis)
                / Math.max(MIN_WEIGHT, reports(nowMillis))
                * otherRouters;
    }

    /**
     * Returns the decayed number of recent reports.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number; near 0 if the reports have stopped
     */
    public double reports(long nowMillis) {
        return weight * decayFactor(weightMillis, nowMillis);
    }

    private static double decayFactor(long updatedMillis, long nowMillis) {
        return Math.exp(Math.min(0.0, (double) (updatedMillis - nowMillis)) / DECAY_MILLIS);
    }
}
