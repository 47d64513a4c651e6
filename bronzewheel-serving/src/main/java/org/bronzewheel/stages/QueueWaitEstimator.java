package org.bronzewheel.stages;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.shares.DecayingRate;
import org.bronzewheel.shares.RankShares;

/**
 * Estimates the queueing time of a new job of a stage service. It takes the minimum of three
 * estimates: by the pieces ahead of the job, by the guaranteed share of its rank, and by the recent
 * service rate of jobs at the same place in the order (Little's law). For a late job, the estimates
 * also account for jobs that will arrive ahead of it meanwhile.
 */
final class QueueWaitEstimator {
    /** The upper bound of an estimate, for a job that is not served at the current arrival rate. */
    static final long MAX_WAIT_MILLIS = 60_000;

    /** The lower bound of the share of capacity left to a job; it is used as a divisor. */
    private static final double MIN_SHARE_LEFT = 0.001;

    /** The lower bound of the service rate, in pieces per millisecond. */
    private static final double MIN_RATE = 1.0 / MAX_WAIT_MILLIS;

    private final RankShares shares;
    private final Map<Integer, DecayingRate> arrivals = new TreeMap<>();
    private final Map<Integer, DecayingRate> sentByOrder = new TreeMap<>();

    /**
     * A snapshot of a queue.
     *
     * @param tasks its tasks
     * @param callMillis the duration of a call, in milliseconds
     * @param pieceMillis the service time per piece while all upstreams are busy, in milliseconds
     * @param nowMillis the current time, by the monotonic clock
     */
    record Queue(List<StageTask> tasks, double callMillis, double pieceMillis, long nowMillis) {
        int order(StageTask task) {
            return StageOrder.rank(task, callMillis, nowMillis);
        }
    }

    QueueWaitEstimator(RankShares shares) {
        this.shares = shares;
    }

    /** Records the arrival of a task that is on time; late tasks go ahead of few others. */
    void recordArrival(StageTask task, double callMillis, long nowMillis) {
        if (!StageOrder.isLate(task, callMillis, nowMillis)) {
            arrivals.computeIfAbsent(task.job().rank(), unknown -> new DecayingRate())
                    .add(task.job().pieces(), nowMillis);
        }
    }

    /** Records that a piece of a task is sent in a call. */
    void recordSent(StageTask task, double callMillis, long nowMillis) {
        sentByOrder
                .computeIfAbsent(
                        StageOrder.rank(task, callMillis, nowMillis), unknown -> new DecayingRate())
                .add(1, nowMillis);
    }

    /** Returns the expected queueing time of a new on-time job of a rank. */
    double onTimeWaitMillis(int rank, Queue queue) {
        return waitMillis(rank, StageOrder.onTimeRank(rank), queue);
    }

    /** Returns the expected queueing time of a new job of a rank that will miss its objective. */
    double lateWaitMillis(int rank, Queue queue) {
        return waitMillis(rank, StageOrder.lateRank(rank), queue);
    }

    /**
     * Returns a lower bound of the queueing time of a piece, by its rank or by its share, whichever
     * is sooner, assuming no further arrivals.
     *
     * @param ahead the pieces that are ahead of it by rank
     * @param sameRankAhead those of them that are of its rank
     */
    double minWaitMillis(
            int rank, int ahead, int sameRankAhead, double pieceMillis, long nowMillis) {
        double assured = shares.guaranteedShare(rank, nowMillis);
        return assured > 0
                ? pieceMillis * Math.min(ahead, sameRankAhead / assured)
                : pieceMillis * ahead;
    }

    private double waitMillis(int rank, int order, Queue queue) {
        int ahead = 0;
        int sameRank = 1;
        int sameOrder = 1;
        for (StageTask task : queue.tasks()) {
            int taskOrder = queue.order(task);
            if (taskOrder <= order) {
                ahead += task.waiting().size();
                sameRank += task.job().rank() == rank ? task.waiting().size() : 0;
                sameOrder += taskOrder == order ? task.waiting().size() : 0;
            }
        }
        boolean late = order == StageOrder.lateRank(rank);
        double byRank = queue.pieceMillis() * ahead / (late ? capacityLeft(order, queue) : 1);
        double byShare = queue.pieceMillis() * sameRank / shareLeft(rank, order, queue);
        double byRate = sameOrder / Math.max(MIN_RATE, sentPerMilli(order, queue));
        return Math.min(MAX_WAIT_MILLIS, Math.min(byRank, Math.min(byShare, byRate)));
    }

    private double sentPerMilli(int order, Queue queue) {
        DecayingRate known = sentByOrder.get(order);
        return known == null ? 0 : known.perMilli(queue.nowMillis());
    }

    /**
     * Returns the share of capacity that arriving jobs leave to an order. Ranks ahead of it use all
     * that they ask for; ranks behind it use at most their guaranteed share.
     */
    private double capacityLeft(int order, Queue queue) {
        double used = 0;
        for (int rank : arrivals.keySet()) {
            int onTimeOrder = StageOrder.onTimeRank(rank);
            double part = arrivingLoad(rank, queue);
            if (onTimeOrder < order) {
                used += part;
            } else if (onTimeOrder > order) {
                used += Math.min(part, shares.guaranteedShare(rank, queue.nowMillis()));
            }
        }
        return Math.max(MIN_SHARE_LEFT, 1 - used);
    }

    /** Returns what is left of the guaranteed share of a rank for an order of that rank. */
    private double shareLeft(int rank, int order, Queue queue) {
        double assured = shares.guaranteedShare(rank, queue.nowMillis());
        double used = StageOrder.onTimeRank(rank) < order ? arrivingLoad(rank, queue) : 0;
        return Math.max(MIN_SHARE_LEFT, assured - used);
    }

    private double arrivingLoad(int rank, Queue queue) {
        DecayingRate known = arrivals.get(rank);
        return known == null ? 0 : known.perMilli(queue.nowMillis()) * queue.pieceMillis();
    }
}
