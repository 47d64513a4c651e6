package org.bronzewheel.stages;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.catalog.StagePool;

/** The pieces that go into one call. */
final class StageBatch {
    private final StagePool pool;
    private final long roomBytes;
    private final List<Part> parts = new ArrayList<>();
    private long bytes;

    /** One piece and the task that it belongs to. */
    record Part(StageTask task, int piece) {}

    StageBatch(StagePool pool, long roomBytes) {
        this.pool = pool;
        this.roomBytes = roomBytes;
    }

    /**
     * Moves the waiting pieces of a task into the batch.
     *
     * <p>A task that fits into an empty call is not split, as its stage ends with its last piece.
     */
    void take(StageTask task) {
        int room = freePieces(task.job().resultBytes());
        int wanted = task.waiting().size();
        if (room < wanted && (!parts.isEmpty() || room < 1)) {
            return;
        }
        for (int i = 0; i < Math.min(room, wanted); i++) {
            parts.add(new Part(task, task.waiting().remove(0)));
            bytes += task.job().resultBytes();
        }
    }

    private int freePieces(long resultBytes) {
        long byRoom = resultBytes == 0 ? Integer.MAX_VALUE : (roomBytes - bytes) / resultBytes;
        return (int) Math.max(0, Math.min(pool.batch() - parts.size(), byRoom));
    }

    /** Tells whether all pieces of a task are in this call. */
    boolean holdsAllOf(StageTask task) {
        return parts.stream().filter(part -> part.task() == task).count() == task.job().pieces();
    }

    Map<Integer, Integer> piecesOfRank() {
        Map<Integer, Integer> pieces = new HashMap<>();
        parts.forEach(part -> pieces.merge(part.task().job().rank(), 1, Integer::sum));
        return pieces;
    }

    boolean isFull() {
        return parts.size() >= pool.batch();
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    List<Part> parts() {
        return parts;
    }

    long bytes() {
        return bytes;
    }

    double expectedMillis() {
        return pool.callMillis() + parts.size() * pool.pieceMillis();
    }
}
