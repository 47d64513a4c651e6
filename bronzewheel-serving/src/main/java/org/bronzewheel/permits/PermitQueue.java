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
 * The permits of one upstream, as the keeper of its limit hands them out: as many a second as it
 * takes, to the urgent ranks first, with a share for each rank that asks.
 *
 * <p>In any span of S seconds it grants at most S + 0.25 times the rate, and 1. A book begins
 * without permits, as another keeper may just have granted some.
 */
final class PermitQueue {
    /** The permits that are kept for later, in seconds of the rate. */
    private static final double BURST_SECONDS = 0.25;

    /** The least rate: an upstream that gets no request cannot say that it takes more. */
    private static final double LEAST_PER_SECOND = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final TokenBucket bucket;
    private final RankShares shares = new RankShares();
    private final List<Waiting> waiting = new ArrayList<>();
    private double ratePerSecond;
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

    PermitQueue(double limitPerSecond, double part, long nowMillis) {
        ratePerSecond = rate(limitPerSecond, part);
        bucket = TokenBucket.empty(ratePerSecond, BURST_SECONDS, nanos(nowMillis));
    }

    private static double rate(double limitPerSecond, double part) {
        return Math.max(LEAST_PER_SECOND, limitPerSecond) * part;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Sets the limit.
     *
     * @param limitPerSecond what the upstream takes from all routers, in requests a second
     * @param part the part of it that this keeper may grant, over 0 and up to 1
     */
    void setLimit(double limitPerSecond, double part, long nowMillis) {
        double newer = rate(limitPerSecond, part);
        if (newer != ratePerSecond) {
            ratePerSecond = newer;
            bucket.setRate(newer, nanos(nowMillis));
        }
    }

    /**
     * Asks for a permit.
     *
     * @param rank the rank of the request, 0 first
     * @param patienceMillis how long it may wait, in milliseconds
     * @param reply takes the decision, possibly before this method returns
     */
    void ask(int rank, long patienceMillis, long nowMillis, Consumer<PermitDecision> reply) {
        shares.recordDemand(rank, 1, nowMillis);
        Waiting asked =
                new Waiting(nextNumber++, rank, nowMillis, nowMillis + patienceMillis, reply);
        waiting.add(asked);
        serve(nowMillis);
        long expectedMillis = expectedMillis(asked, nowMillis);
        if (expectedMillis > patienceMillis && waiting.remove(asked)) {
            refuse(asked, expectedMillis, nowMillis);
        }
    }

    /** Returns the time until a request that waits will have a permit, where no other comes. */
    private long expectedMillis(Waiting asked, long nowMillis) {
        long ahead = waiting.stream().filter(w -> order().compare(w, asked) < 0).count();
        double aheadMillis = ahead * MILLIS_PER_SECOND / ratePerSecond;
        return nextMillis(nowMillis) + Math.min(TimeUnit.DAYS.toMillis(1), Math.round(aheadMillis));
    }

    /** Returns the time until a wait ends, by a permit or without one, in milliseconds. */
    long nextEndMillis(long nowMillis) {
        long firstEndMillis =
                waiting.stream().mapToLong(w -> w.untilMillis() + 1 - nowMillis).min().orElse(0);
        return Math.max(1, Math.min(firstEndMillis, nextMillis(nowMillis)));
    }

    /** Returns the time until the next permit, in milliseconds. */
    private long nextMillis(long nowMillis) {
        return (long) Math.ceil(bucket.nextTokenInNanos(nanos(nowMillis)) / (double) nanos(1));
    }

    /** Grants what is due and ends the waits that are over. */
    void serve(long nowMillis) {
        for (Optional<Waiting> next = next();
                next.isPresent() && bucket.tryTake(nanos(nowMillis));
                next = next()) {
            waiting.remove(next.get());
            shares.recordServed(Map.of(next.get().rank(), 1), 1, nowMillis);
            granted++;
            next.get().reply().accept(PermitDecision.GRANTED);
        }
        for (Waiting over : List.copyOf(waiting)) {
            if (nowMillis > over.untilMillis()) {
                waiting.remove(over);
                refuse(over, expectedMillis(over, nowMillis), nowMillis);
            }
        }
    }

    private void refuse(Waiting over, long retryAfterMillis, long nowMillis) {
        shares.recordRefusal(over.rank(), 1, over.askedMillis(), nowMillis);
        refused++;
        over.reply().accept(new PermitDecision(false, retryAfterMillis, nextMillis(nowMillis)));
    }

    /** Refuses all that wait, as another router keeps the limit now. */
    void close(long nowMillis) {
        List<Waiting> left = List.copyOf(waiting);
        waiting.clear();
        left.forEach(over -> refuse(over, nextMillis(nowMillis), nowMillis));
    }

    private Optional<Waiting> next() {
        return waiting.stream().min(order());
    }

    /** Ranks with credit go first, the one with most of it before others; then the urgent ones. */
    private Comparator<Waiting> order() {
        return Comparator.comparingDouble((Waiting w) -> -assuredCredit(w.rank()))
                .thenComparingInt(Waiting::rank)
                .thenComparingLong(Waiting::number);
    }

    private double assuredCredit(int rank) {
        double credit = shares.credit(rank);
        return credit >= RankShares.maxCredit(1) ? credit : 0;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Describes what was decided since the last time. */
    String takeReport() {
        String report =
                "ratePerSecond=%.2f granted=%d refused=%d waiting=%d"
                        .formatted(ratePerSecond, granted, refused, waiting.size());
        granted = 0;
        refused = 0;
        return report;
    }

    /** Tells whether anything was decided since the last report. */
    boolean hasNews() {
        return granted + refused > 0;
    }
}
