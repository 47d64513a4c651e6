package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.catalog.StagePool;

/** The pieces that go into one call. */
final class StageBatch {
    private static final double USABLE_SPACE_SHARE = 0.95;

    private final StagePool pool;
    private final long spaceBytes;
    private final List<Entry> entries = new ArrayList<>();
    private long bytes;

    /** A piece and its task. */
    record Entry(StageTask task, int piece) {}

    StageBatch(StagePool pool, long spaceBytes) {
        this.pool = pool;
        this.spaceBytes = spaceBytes;
    }

    /**
     * Moves queued pieces of a task into the batch.
     *
     * <p>A task is split only if the batch is empty and cannot hold all its pieces, since a stage
     * ends with its last piece.
     */
    void addFrom(StageTask task) {
        int capacity = freeCapacity(task.job().resultBytes());
        int wanted = task.waiting().size();
        if (capacity < wanted && (!entries.isEmpty() || capacity < 1)) {
            return;
        }
        for (int i = 0; i < Math.min(capacity, wanted); i++) {
            entries.add(new Entry(task, task.waiting().remove(0)));
            bytes += task.job().resultBytes();
        }
    }

    private int freeCapacity(long resultBytes) {
        long bySpace = resultBytes == 0 ? Integer.MAX_VALUE : (spaceBytes - bytes) / resultBytes;
        return (int) Math.max(0, Math.min(pool.batch() - entries.size(), bySpace));
    }

    /** Returns the space less a margin, as the sizes of results are approximate. */
    static long usableSpace(StagePool pool) {
        return Math.round(pool.roomBytes() * USABLE_SPACE_SHARE);
    }

    /** Returns the expected duration of a full call. */
    static double fullCallMillis(StagePool pool) {
        return pool.expectedMillis(pool.batch());
    }

    /** Returns the pieces as they are sent. */
    List<StageItem> items(long nowMillis) {
        return entries.stream().map(entry -> item(entry, nowMillis)).toList();
    }

    private static StageItem item(Entry entry, long nowMillis) {
        StageJob job = entry.task().job();
        return new StageItem(
                job.requestId(),
                job.stage(),
                entry.piece(),
                Math.max(1, job.deadlineAtMillis() - nowMillis),
                job.key(),
                job.inputs().stream().map(StageResult::handle).toList());
    }

    /** Returns whether all pieces of a task are in this batch. */
    boolean containsAllPiecesOf(StageTask task) {
        return entries.stream().filter(entry -> entry.task() == task).count()
                == task.job().pieces();
    }

    Map<Integer, Integer> piecesByRank() {
        Map<Integer, Integer> pieces = new HashMap<>();
        entries.forEach(entry -> pieces.merge(entry.task().job().rank(), 1, Integer::sum));
        return pieces;
    }

    boolean isFull() {
        return entries.size() >= pool.batch();
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    List<Entry> entries() {
        return entries;
    }

    long bytes() {
        return bytes;
    }

    double expectedMillis() {
        return pool.expectedMillis(entries.size());
    }
}
