package org.bronzewheel.shares;

import java.util.Map;
import java.util.TreeMap;

/**
 * The shares that ranks are assured of while what they ask for is scarce: the work of a stage
 * service, or the requests that an upstream takes.
 *
 * <p>Urgent ranks go first, but not without a limit: half of what the upstreams do is assured to
 * the ranks in proportion to what their callers ask for, refused requests included. The other half
 * goes by rank alone. Past capacity, each rank so gets at least half of the part that all would get
 * if there were no ranks, and no rank gets a smaller part than a less urgent one. A caller that is
 * refused comes back once, as a rule, so that each refusal counts half.
 *
 * <p>A rank earns credit with each piece that is taken, of any rank, and spends it with its own
 * pieces. A rank that gets its share by its urgency has no credit left.
 */
public final class RankShares {
    /** The part of the work that is assured. */
    private static final double ASSURED_PART = 0.5;

    /** The part of a refused request that is asked for again when its caller comes back. */
    private static final double RETURNING_PART = 0.5;

    private final Map<Integer, Rank> ranks = new TreeMap<>();

    private static final class Rank {
        private final DecayingRate asked = new DecayingRate();
        private double credit;
    }

    /**
     * Books pieces that callers asked for, served or not.
     *
     * @param rank the rank, 0 first
     * @param pieces the number of pieces
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordDemand(int rank, int pieces, long nowMillis) {
        ranks.computeIfAbsent(rank, unknown -> new Rank()).asked.add(pieces, nowMillis);
    }

    /**
     * Books that pieces which were asked for at an earlier time will not be served.
     *
     * @param rank the rank
     * @param pieces the number of pieces
     * @param askedMillis when they were asked for, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void recordRefusal(int rank, int pieces, long askedMillis, long nowMillis) {
        Rank known = ranks.get(rank);
        if (known != null) {
            known.asked.remove(RETURNING_PART * pieces, askedMillis, nowMillis);
        }
    }

    /**
     * Returns the part of the work that a rank is assured of.
     *
     * @param rank the rank
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the part, from 0 to below 1
     */
    public double guaranteedShare(int rank, long nowMillis) {
        Rank known = ranks.get(rank);
        if (known == null) {
            return 0;
        }
        double all = ranks.values().stream().mapToDouble(r -> r.asked.perMilli(nowMillis)).sum();
        return all > 0 ? ASSURED_PART * known.asked.perMilli(nowMillis) / all : 0;
    }

    /**
     * Books the pieces of a call.
     *
     * @param taken the pieces by rank
     * @param batch the pieces of a full call
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
     * Returns the pieces of a rank that may go before those of more urgent ranks.
     *
     * @param rank the rank
     * @return the number of pieces
     */
    public double credit(int rank) {
        Rank known = ranks.get(rank);
        return known == null ? 0 : known.credit;
    }

    /**
     * Returns the credit that suffices for a task of any size.
     *
     * @param batch the pieces of a full call
     * @return the number of pieces
     */
    public static double maxCredit(int batch) {
        return Math.max(1, ASSURED_PART * batch);
    }
}
