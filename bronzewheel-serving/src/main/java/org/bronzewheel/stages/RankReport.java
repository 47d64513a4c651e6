package org.bronzewheel.stages;

import java.util.List;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeSet;
import java.util.function.IntToLongFunction;

/**
 * Formats, for each rank, the queue, the expected wait of a new job and the piece counters for the
 * log.
 */
final class RankReport {
    private final List<StageTask> tasks;
    private final PieceCounters counters;
    private final IntToLongFunction expectedWaitMillis;

    RankReport(
            List<StageTask> tasks, PieceCounters counters, IntToLongFunction expectedWaitMillis) {
        this.tasks = tasks;
        this.counters = counters;
        this.expectedWaitMillis = expectedWaitMillis;
    }

    /** Returns the text and resets the counters of the ranks. */
    String formatAndReset(double callMillis, long nowMillis) {
        Set<Integer> ranks = new TreeSet<>(counters.ranks());
        tasks.forEach(task -> ranks.add(task.job().rank()));
        StringJoiner text = new StringJoiner(", ", "[", "]");
        for (int rank : ranks) {
            List<StageTask> ofRank = tasks.stream().filter(t -> t.job().rank() == rank).toList();
            int waiting = ofRank.stream().mapToInt(task -> task.waiting().size()).sum();
            long late =
                    ofRank.stream()
                            .filter(task -> StageOrder.isLate(task, callMillis, nowMillis))
                            .count();
            text.add(
                    "%d: waiting=%d late=%d expectedMillis=%d %s"
                            .formatted(
                                    rank,
                                    waiting,
                                    late,
                                    expectedWaitMillis.applyAsLong(rank),
                                    counters.ofRank(rank).formatAndReset()));
        }
        return text.toString();
    }
}
