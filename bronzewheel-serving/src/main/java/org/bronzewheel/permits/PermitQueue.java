package org.bronzewheel.permits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzewheel.admission.TokenBucket;
import org.bronzewheel.shares.RankShares;

/**
 * The queue of permit requests for one limit, run by the owner of the limit. Permits are granted at
 * the rate of the limit, to urgent ranks first, with a guaranteed share for each rank.
 *
 * <p>In any interval of S seconds it grants at most (S + 0.25) times the rate plus 1 permit. A new
 * queue starts without permits, as the previous owner may just have granted some.
 */
final class PermitQueue {
    /** The maximum number of unused permits, in seconds of the rate. */
    private static final double BURST_SECONDS = 0.25;

    /** The minimum rate: an upstream that gets no requests cannot announce a higher limit. */
    private static final double MIN_PER_SECOND = 0.25;

    /**
     * The rate at which the waiting requests are released when a limit has ended: faster than
     * before, so that none waits longer than expected. In any second it releases at most 1.5 times
     * the former rate or 4, and 1 more, so that a limit that is found to hold on is not exceeded by
     * a burst.
     */
    private static final double RELEASE_FACTOR = 1.2;

    private static final double MIN_RELEASE_PER_SECOND = 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final TokenBucket bucket;
    private final RankShares shares = new RankShares();
    private final List<Waiting> waiting = new ArrayList<>();
    private double ratePerSecond;
    private boolean limitEnded;
    private long nextNumber;
    private int granted;
    private int refused;

    /** A request that waits for a permit. */
    private record Waiting(
            long number,
            int rank,
            long askedMillis,
            long untilMillis,
            Consumer<PermitDecision> reply) {}

    PermitQueue(double limitPerSecond, double fraction, long nowMillis) {
        ratePerSecond = rate(limitPerSecond, fraction);
        bucket = TokenBucket.empty(ratePerSecond, BURST_SECONDS, nanos(nowMillis));
    }

    private static double rate(double limitPerSecond, double fraction) {
        return Math.max(MIN_PER_SECOND, limitPerSecond) * fraction;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Sets the limit.
     *
     * @param limitPerSecond the limit for all routers together, in requests per second
     * @param fraction the fraction of it that this router may grant, greater than 0 and at most 1
     */
    void setLimit(double limitPerSecond, double fraction, long nowMillis) {
        limitEnded = false;
        setRate(rate(limitPerSecond, fraction), nowMillis);
    }

    /** Records that there is no limit any more; the waiting requests are released in sequence. */
    void endLimit(long nowMillis) {
        if (!limitEnded) {
            limitEnded = true;
            setRate(Math.max(MIN_RELEASE_PER_SECOND, RELEASE_FACTOR * ratePerSecond), nowMillis);
        }
    }

    private void setRate(double newRate, long nowMillis) {
        if (newRate != ratePerSecond) {
            ratePerSecond = newRate;
            bucket.setRate(newRate, nanos(nowMillis));
        }
    }

    /**
     * Requests a permit.
     *
     * @param rank the rank of the request, 0 being the most urgent
     * @param timeoutMillis the maximum waiting time, in milliseconds
     * @param reply receives the decision, possibly before this method returns
     */
    void ask(int rank, long timeoutMillis, long nowMillis, Consumer<PermitDecision> reply) {
        shares.recordDemand(rank, 1, nowMillis);
        Waiting asked =
                new Waiting(nextNumber++, rank, nowMillis, nowMillis + timeoutMillis, reply);
        waiting.add(asked);
        serve(nowMillis);
        long expectedMillis = expectedMillis(asked, nowMillis);
        if (expectedMillis > timeoutMillis && waiting.remove(asked)) {
            refuse(asked, expectedMillis, nowMillis);
        }
    }

    /** Returns the expected time until a waiting request gets a permit, if no others arrive. */
    private long expectedMillis(Waiting asked, long nowMillis) {
        long ahead = waiting.stream().filter(w -> priorityOrder().compare(w, asked) < 0).count();
        double aheadMillis = ahead * MILLIS_PER_SECOND / ratePerSecond;
        return nextMillis(nowMillis) + Math.min(TimeUnit.DAYS.toMillis(1), Math.round(aheadMillis));
    }

    /** Returns the time until the next grant or timeout of a waiting request, in milliseconds. */
    long nextEventMillis(long nowMillis) {
        long firstTimeoutMillis =
                waiting.stream().mapToLong(w -> w.untilMillis() + 1 - nowMillis).min().orElse(0);
        return Math.max(1, Math.min(firstTimeoutMillis, nextMillis(nowMillis)));
    }

    /** Returns the time until the next permit, in milliseconds. */
    private long nextMillis(long nowMillis) {
        return (long) Math.ceil(bucket.nextTokenInNanos(nanos(nowMillis)) / (double) nanos(1));
    }

    /** Grants the permits that are available and refuses the requests that timed out. */
    void serve(long nowMillis) {
        for (Optional<Waiting> next = next();
                next.isPresent() && bucket.tryTake(nanos(nowMillis));
                next = next()) {
            waiting.remove(next.get());
            shares.recordServed(Map.of(next.get().rank(), 1), 1, nowMillis);
            granted++;
            next.get().reply().accept(PermitDecision.GRANTED);
        }
        for (Waiting expired : List.copyOf(waiting)) {
            if (nowMillis > expired.untilMillis()) {
                waiting.remove(expired);
                refuse(expired, expectedMillis(expired, nowMillis), nowMillis);
            }
        }
    }

    private void refuse(Waiting expired, long retryAfterMillis, long nowMillis) {
        shares.recordRefusal(expired.rank(), 1, expired.askedMillis(), nowMillis);
        refused++;
        expired.reply().accept(new PermitDecision(false, retryAfterMillis, nextMillis(nowMillis)));
    }

    /** Refuses all waiting requests, as another router owns the limit now. */
    void close(long nowMillis) {
        List<Waiting> remaining = List.copyOf(waiting);
        waiting.clear();
        remaining.forEach(expired -> refuse(expired, nextMillis(nowMillis), nowMillis));
    }

    private Optional<Waiting> next() {
        return waiting.stream().min(priorityOrder());
    }

    /** Orders by descending full credit of the rank, then by rank, then by arrival. */
    private Comparator<Waiting> priorityOrder() {
        return Comparator.comparingDouble((Waiting w) -> -fullCredit(w.rank()))
                .thenComparingInt(Waiting::rank)
                .thenComparingLong(Waiting::number);
    }

    private double fullCredit(int rank) {
        double credit = shares.credit(rank);
        return credit >= RankShares.maxCredit(1) ? credit : 0;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the counts of decisions since the last report, and resets them. */
    String resetReport() {
        String report =
                "ratePerSecond=%.2f granted=%d refused=%d waiting=%d"
                        .formatted(ratePerSecond, granted, refused, waiting.size());
        granted = 0;
        refused = 0;
        return report;
    }

    /** Returns whether there were decisions since the last report. */
    boolean hasDecisions() {
        return granted + refused > 0;
    }
}
