package org.bronzewheel.measure;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.bronzewheel.measure.StageProfile.StageRoute;

/** What callers got in a run of the experiment on stages. */
final class StageTally {
    private static final int LONGEST_MILLIS = 60_000;
    private static final int DIGITS = 3;

    private final Histogram latencies = new Histogram(LONGEST_MILLIS, DIGITS);
    private final Map<Integer, Long> askedOfRank = new TreeMap<>();
    private final Map<Integer, Long> answeredOfRank = new TreeMap<>();
    private final Map<Integer, Long> onTimeOfRank = new TreeMap<>();
    private final Map<Integer, Long> refusedOfRank = new TreeMap<>();
    private final Map<Boolean, Long> askedOfSize = new TreeMap<>();
    private final Map<Boolean, Long> onTimeOfSize = new TreeMap<>();
    private final Map<Boolean, Long> answeredOfSize = new TreeMap<>();
    private final Map<Integer, Double> owedOfRank = new TreeMap<>();
    private final Map<Integer, Double> earnedOfRank = new TreeMap<>();
    private long asked;
    private long answered;
    private long onTime;
    private long refused;
    private long held;
    private long failed;
    private long left;
    private double owedWorth;
    private double earnedWorth;

    void asked(StageRoute route, boolean large) {
        asked++;
        askedOfSize.merge(large, 1L, Long::sum);
        askedOfRank.merge(route.priority(), 1L, Long::sum);
        owedWorth += route.worth();
        owedOfRank.merge(route.priority(), route.worth(), Double::sum);
    }

    void answered(StageRoute route, boolean large, long millis) {
        answered++;
        answeredOfSize.merge(large, 1L, Long::sum);
        answeredOfRank.merge(route.priority(), 1L, Long::sum);
        latencies.recordValue(Math.min(LONGEST_MILLIS, millis));
        boolean late = millis > route.objectiveMillis();
        double worth = late ? route.lateWorth() : route.worth();
        if (!late) {
            onTime++;
            onTimeOfSize.merge(large, 1L, Long::sum);
            onTimeOfRank.merge(route.priority(), 1L, Long::sum);
        }
        earnedWorth += worth;
        earnedOfRank.merge(route.priority(), worth, Double::sum);
    }

    void refused(StageRoute route) {
        refused++;
        refusedOfRank.merge(route.priority(), 1L, Long::sum);
    }

    /** Books a refusal that came only after a time, of a first or of a further attempt. */
    void held() {
        held++;
    }

    void failed() {
        failed++;
    }

    /** Books a caller that left before it had an answer or a refusal. */
    void left() {
        left++;
    }

    long answers() {
        return answered;
    }

    double answeredShare() {
        return (double) answered / asked;
    }

    double onTimeShare() {
        return (double) onTime / asked;
    }

    /** Returns the share on time of the requests of a rank. */
    double onTimeShare(int rank) {
        return (double) onTimeOfRank.getOrDefault(rank, 0L) / askedOfRank.getOrDefault(rank, 1L);
    }

    /** Returns what was earned of what all answers in time are worth. */
    double worthShare() {
        return earnedWorth / owedWorth;
    }

    /** Returns the same for the requests of a rank. */
    double worthShare(int rank) {
        return earnedOfRank.getOrDefault(rank, 0.0) / owedOfRank.getOrDefault(rank, 1.0);
    }

    double answeredShare(int rank) {
        return (double) answeredOfRank.getOrDefault(rank, 0L) / askedOfRank.getOrDefault(rank, 1L);
    }

    double refusedShare(int rank) {
        return (double) refusedOfRank.getOrDefault(rank, 0L) / askedOfRank.getOrDefault(rank, 1L);
    }

    /**
     * Returns the share on time of the requests with more pieces than the mean, or of the others.
     */
    double onTimeShareOfSize(boolean large) {
        return (double) onTimeOfSize.getOrDefault(large, 0L) / askedOfSize.getOrDefault(large, 1L);
    }

    double answeredShareOfSize(boolean large) {
        return (double) answeredOfSize.getOrDefault(large, 0L)
                / askedOfSize.getOrDefault(large, 1L);
    }

    double refusedShare() {
        return (double) refused / asked;
    }

    /** Returns the refusals that came only after a time, as a share of all requests. */
    double heldShare() {
        return (double) held / asked;
    }

    double failedShare() {
        return (double) failed / asked;
    }

    double leftShare() {
        return (double) left / asked;
    }

    double latencyMillis(double percentile) {
        return latencies.getValueAtPercentile(percentile);
    }
}
