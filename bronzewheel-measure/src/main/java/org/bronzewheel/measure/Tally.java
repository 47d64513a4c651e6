package org.bronzewheel.measure;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.cost.CostKind;

/** The counts of one run over the requests that arrived in its window. */
final class Tally {
    private static final class Counts {
        private long arrived;
        private long attained;
        private final Map<End, Long> ends = new EnumMap<>(End.class);
    }

    private static final double RECOVERED_ATTAINMENT = 0.99;

    private final Map<String, Counts> byClass = new TreeMap<>();
    private final Map<Long, long[]> bySecond = new TreeMap<>();
    private final Map<CostKind, Double> costMillis = new EnumMap<>(CostKind.class);
    private double attainedWorkMillis;

    Tally(Profile profile) {
        profile.kinds().forEach(k -> byClass.put(k.requestClass().name(), new Counts()));
    }

    void arrived(Request request) {
        if (inWindow(request)) {
            of(request).arrived++;
            second(request)[0]++;
        }
    }

    void end(Request request, End end, long atClientNanos) {
        if (!inWindow(request)) {
            return;
        }
        Counts counts = of(request);
        counts.ends.merge(end, 1L, Long::sum);
        if (end == End.ANSWERED && atClientNanos <= request.deadlineNanos()) {
            counts.attained++;
            second(request)[1]++;
            attainedWorkMillis += request.kind().nominalMillis() * request.size();
        }
    }

    void cost(Request request, CostKind kind, double millis) {
        if (inWindow(request)) {
            costMillis.merge(kind, millis, Double::sum);
        }
    }

    double attainment(String requestClass) {
        Counts counts = byClass.get(requestClass);
        return counts.arrived == 0 ? 1 : (double) counts.attained / counts.arrived;
    }

    double attainment() {
        long arrived = byClass.values().stream().mapToLong(c -> c.arrived).sum();
        return (double) attained() / arrived;
    }

    long attained() {
        return byClass.values().stream().mapToLong(c -> c.attained).sum();
    }

    double worstAttainment() {
        return byClass.keySet().stream().mapToDouble(this::attainment).min().orElse(1);
    }

    double attainedWorkMillis() {
        return attainedWorkMillis;
    }

    long ended(String requestClass, End end) {
        return byClass.get(requestClass).ends.getOrDefault(end, 0L);
    }

    double costMillis(CostKind kind) {
        return costMillis.getOrDefault(kind, 0.0);
    }

    double totalCostMillis() {
        return costMillis.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the worker time spent for each unit of work that was answered in time. */
    double costFactor() {
        return totalCostMillis() / Math.max(1, attainedWorkMillis);
    }

    double extraCostPart() {
        double extra = costMillis(CostKind.HEDGE) + costMillis(CostKind.RETRY);
        return extra / Math.max(1, totalCostMillis());
    }

    /** Returns the seconds from a time until attainment of all later arrivals is back. */
    long secondsToRecover(long fromNanos) {
        long from = fromNanos / World.SECOND_NANOS;
        long last = from;
        for (Map.Entry<Long, long[]> entry : bySecond.entrySet()) {
            long[] counts = entry.getValue();
            boolean low = counts[1] < counts[0] * RECOVERED_ATTAINMENT;
            if (entry.getKey() >= from && low) {
                last = entry.getKey() + 1;
            }
        }
        return last - from;
    }

    private static boolean inWindow(Request request) {
        return request.arrivalNanos() >= World.WINDOW_START_NANOS
                && request.arrivalNanos() < World.WINDOW_END_NANOS;
    }

    private Counts of(Request request) {
        return byClass.get(request.kind().requestClass().name());
    }

    private long[] second(Request request) {
        long second = request.arrivalNanos() / World.SECOND_NANOS;
        return bySecond.computeIfAbsent(second, s -> new long[2]);
    }
}
