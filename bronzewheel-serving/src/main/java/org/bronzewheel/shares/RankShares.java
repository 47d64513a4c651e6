package org.bronzewheel.shares;

import java.util.Map;
import java.util.TreeMap;

/**
 * The shares of a scarce resource that are guaranteed to each rank: the capacity of a stage
 * service, or the permitted requests of an upstream.
 *
 * <p>Urgent ranks have priority, but not an absolute one: half of the capacity is guaranteed to the
 * ranks in proportion to their demand, including refused requests. The other half is given out by
 * rank alone. Under overload, each rank therefore gets at least half of the share that it would get
 * if ranks were ignored, and no rank gets a smaller share than a less urgent one. A refused caller
 * usually retries once, so a refused request counts half.
 *
 * <p>A rank earns credit with each piece that is served, of any rank, and spends it on its own
 * pieces. A rank that gets its share through priority has no credit left.
 */
public final class RankShares {
    /** The fraction of the capacity that is guaranteed. */
    private static final double GUARANTEED_FRACTION = 0.5;

    /** The fraction of the demand of a refused request that its retry will record again. */
    private static final double RETRIED_FRACTION = 0.5;

    private final Map<Integer, Rank> ranks = new TreeMap<>();

    private static final class Rank {
        private final DecayingRate demand = new DecayingRate();
        private double credit;
    }

    /**
     * Records requested pieces, whether they are served or not.
     *
     * @param rank the rank, 0 being the most urgent
     * @param pieces the number of pieces
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordDemand(int rank, int pieces, long nowMillis) {
        ranks.computeIfAbsent(rank, unknown -> new Rank()).demand.add(pieces, nowMillis);
    }

    /**
     * Records that pieces which were requested earlier will not be served.
     *
     * @param rank the rank
     * @param pieces the number of pieces
     * @param askedMillis when they were requested, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordRefusal(int rank, int pieces, long askedMillis, long nowMillis) {
        Rank known = ranks.get(rank);
        if (known != null) {
            known.demand.remove(RETRIED_FRACTION * pieces, askedMillis, nowMillis);
        }
    }

    /**
     * Returns the fraction of the capacity that is guaranteed to a rank.
     *
     * @param rank the rank
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the fraction, at least 0 and less than 1
     */
    public double guaranteedShare(int rank, long nowMillis) {
        Rank known = ranks.get(rank);
        if (known == null) {
            return 0;
        }
        double all = ranks.values().stream().mapToDouble(r -> r.demand.perMilli(nowMillis)).sum();
        return all > 0 ? GUARANTEED_FRACTION * known.demand.perMilli(nowMillis) / all : 0;
    }

    /**
     * Records the pieces of a call that is served.
     *
     * @param taken the pieces by rank
     * @param batch the maximum number of pieces in a call
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordServed(Map<Integer, Integer> taken, int batch, long nowMillis) {
        int all = taken.values().stream().mapToInt(Integer::intValue).sum();
        ranks.forEach(
                (rank, state) -> {
                    double earned = all * guaranteedShare(rank, nowMillis);
                    double credit = state.credit + earned - taken.getOrDefault(rank, 0);
                    state.credit = Math.max(0, Math.min(maxCredit(batch), credit));
                });
    }

    /**
     * Returns the number of pieces of a rank that may be served before more urgent ranks.
     *
     * @param rank the rank
     * @return the number of pieces
     */
    public double credit(int rank) {
        Rank known = ranks.get(rank);
        return known == null ? 0 : known.credit;
    }

    /**
     * Returns the maximum credit, which is sufficient for a task of any size.
     *
     * @param batch the maximum number of pieces in a call
     * @return the number of pieces
     */
    public static double maxCredit(int batch) {
        return Math.max(1, GUARANTEED_FRACTION * batch);
    }
}
