package org.bronzewheel.stages;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.shares.DecayingRate;
import org.bronzewheel.shares.RankShares;

/**
 * The waits that new jobs of a stage service are to expect: by what waits ahead of them, by the
 * share of their rank, or by the rate at which such jobs were lately served (Little's law),
 * whichever is sooner. The wait of a late job counts what arrives ahead of it meanwhile, too.
 */
final class QueueWaitEstimator {
    /** The wait of a job that is not served as long as others arrive as they do now. */
    static final long NEVER_MILLIS = 60_000;

    /** The least part of the work that is left for a job which is served at all. */
    private static final double LEAST_PART_LEFT = 0.001;

    /** The least rate of pieces, a millisecond. */
    private static final double LEAST_RATE = 1.0 / NEVER_MILLIS;

    private final RankShares shares;
    private final Map<Integer, DecayingRate> arrivals = new TreeMap<>();
    private final Map<Integer, DecayingRate> servedByOrder = new TreeMap<>();

    /**
     * A queue at a time.
     *
     * @param tasks its tasks
     * @param callMillis the time of a call, in milliseconds
     * @param pieceMillis the time of a piece while all upstreams are busy, in milliseconds
     * @param nowMillis the time, by the steady clock
     */
    record Queue(List<StageTask> tasks, double callMillis, double pieceMillis, long nowMillis) {
        int order(StageTask task) {
            return StageOrder.rank(task, callMillis, nowMillis);
        }
    }

    QueueWaitEstimator(RankShares shares) {
        this.shares = shares;
    }

    /** Books the pieces of a task that arrived on time; late ones go ahead of few others. */
    void arrive(StageTask task, double callMillis, long nowMillis) {
        if (!StageOrder.isLate(task, callMillis, nowMillis)) {
            arrivals.computeIfAbsent(task.job().rank(), unknown -> new DecayingRate())
                    .add(task.job().pieces(), nowMillis);
        }
    }

    /** Books a piece of a task that goes into a call. */
    void serve(StageTask task, double callMillis, long nowMillis) {
        servedByOrder
                .computeIfAbsent(
                        StageOrder.rank(task, callMillis, nowMillis), unknown -> new DecayingRate())
                .add(1, nowMillis);
    }

    /** Returns the time until a new job of a rank that is on time would be in a call. */
    double onTimeWaitMillis(int rank, Queue queue) {
        return waitMillis(rank, StageOrder.onTimeRank(rank), queue);
    }

    /** Returns the time until a new job of a rank that will be late would be in a call. */
    double lateWaitMillis(int rank, Queue queue) {
        return waitMillis(rank, StageOrder.lateRank(rank), queue);
    }

    /**
     * Returns the least time until a waiting piece is in a call, by its rank or by its share,
     * whichever is sooner, as if nothing arrived.
     *
     * @param ahead the pieces that go before it by rank
     * @param ownAhead those of them that are of its rank
     */
    double leastWaitMillis(int rank, int ahead, int ownAhead, double pieceMillis, long nowMillis) {
        double assured = shares.guaranteedShare(rank, nowMillis);
        return assured > 0
                ? pieceMillis * Math.min(ahead, ownAhead / assured)
                : pieceMillis * ahead;
    }

    private double waitMillis(int rank, int order, Queue queue) {
        int ahead = 0;
        int withOwn = 1;
        int withAlike = 1;
        for (StageTask task : queue.tasks()) {
            int taskOrder = queue.order(task);
            if (taskOrder <= order) {
                ahead += task.waiting().size();
                withOwn += task.job().rank() == rank ? task.waiting().size() : 0;
                withAlike += taskOrder == order ? task.waiting().size() : 0;
            }
        }
        boolean late = order == StageOrder.lateRank(rank);
        double byRank = queue.pieceMillis() * ahead / (late ? partLeft(order, queue) : 1);
        double byShare = queue.pieceMillis() * withOwn / shareLeft(rank, order, queue);
        double byRate = withAlike / Math.max(LEAST_RATE, servedPerMilli(order, queue));
        return Math.min(NEVER_MILLIS, Math.min(byRank, Math.min(byShare, byRate)));
    }

    private double servedPerMilli(int order, Queue queue) {
        DecayingRate known = servedByOrder.get(order);
        return known == null ? 0 : known.perMilli(queue.nowMillis());
    }

    /**
     * Returns the part of the work that is left for an order by the jobs that arrive meanwhile:
     * those before it in the order, and of those behind it what the share of their rank takes.
     */
    private double partLeft(int order, Queue queue) {
        double taken = 0;
        for (int rank : arrivals.keySet()) {
            int onTimeOrder = StageOrder.onTimeRank(rank);
            double part = arrivingPart(rank, queue);
            if (onTimeOrder < order) {
                taken += part;
            } else if (onTimeOrder > order) {
                taken += Math.min(part, shares.guaranteedShare(rank, queue.nowMillis()));
            }
        }
        return Math.max(LEAST_PART_LEFT, 1 - taken);
    }

    /** Returns the part of the work that the share of a rank leaves to an order. */
    private double shareLeft(int rank, int order, Queue queue) {
        double assured = shares.guaranteedShare(rank, queue.nowMillis());
        double taken = StageOrder.onTimeRank(rank) < order ? arrivingPart(rank, queue) : 0;
        return Math.max(LEAST_PART_LEFT, assured - taken);
    }

    private double arrivingPart(int rank, Queue queue) {
        DecayingRate known = arrivals.get(rank);
        return known == null ? 0 : known.perMilli(queue.nowMillis()) * queue.pieceMillis();
    }
}
