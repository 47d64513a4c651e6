package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.bronzewheel.shedding.SheddingDecision;

/** Counts the tasks that were delayed and shed by rank, and why, and logs the counts. */
final class SheddingReport {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<Integer, Counts> ofRank = new TreeMap<>();
    private long shedTasks;
    private double maxQueueMillis;

    private static final class Counts {
        private int displaced;
        private int displacedPieces;
        private int shed;
        private int shedPieces;
        private int refused;
    }

    private Counts counts(StageTask task) {
        return ofRank.computeIfAbsent(task.job().rank(), rank -> new Counts());
    }

    /** Records what a decision changes. */
    void record(StagePlan before, SheddingDecision<StageTask> decision, StageTriage.Load load) {
        double queueMillis = load.queue().tasks().stream().mapToDouble(load::workMillis).sum();
        maxQueueMillis = Math.max(maxQueueMillis, queueMillis);
        for (StageTask task : decision.displaced()) {
            if (!before.displaced().contains(task)) {
                Counts counts = counts(task);
                counts.displaced++;
                counts.displacedPieces += task.waiting().size();
            }
        }
        for (StageTask task : decision.shed()) {
            Counts counts = counts(task);
            counts.shed++;
            counts.shedPieces += task.waiting().size();
        }
        shedTasks += decision.shed().size();
    }

    /** Records a task that was refused on arrival. */
    void recordRefused(StageTask task) {
        counts(task).refused++;
        shedTasks++;
    }

    /** Returns the number of tasks that were shed or refused since the start. */
    long shedTasks() {
        return shedTasks;
    }

    /** Logs the counts since the last call, if there are any, and resets them. */
    void log(String service) {
        if (!ofRank.isEmpty()) {
            logger.atInfo().log(
                    "stage load shedding: service=%s maxQueueMillis=%d ranks=%s",
                    service, Math.round(maxQueueMillis), describe());
        }
        ofRank.clear();
        maxQueueMillis = 0;
    }

    /** Describes the counts as {@code [1: displaced=2 displacedPieces=40 shed=0 ...]}. */
    String describe() {
        StringJoiner text = new StringJoiner(", ", "[", "]");
        ofRank.forEach(
                (rank, counts) ->
                        text.add(
                                "%d: displaced=%d displacedPieces=%d shed=%d shedPieces=%d refused=%d"
                                        .formatted(
                                                rank,
                                                counts.displaced,
                                                counts.displacedPieces,
                                                counts.shed,
                                                counts.shedPieces,
                                                counts.refused)));
        return text.toString();
    }
}
