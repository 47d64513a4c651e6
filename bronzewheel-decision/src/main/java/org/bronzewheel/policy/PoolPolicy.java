package org.bronzewheel.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzewheel.admission.AdmissionQueue;
import org.bronzewheel.admission.AdmissionRequest;
import org.bronzewheel.admission.Dropped;
import org.bronzewheel.admission.Queued;
import org.bronzewheel.admission.Refusal;
import org.bronzewheel.admission.TokenBucket;
import org.bronzewheel.budget.StageBudgets;
import org.bronzewheel.hedging.HedgedCalls;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.routing.WorkerTable;

/**
 * The policy of one pool at one router: admission queue, worker choice and hedging.
 *
 * <p>An executor offers work, polls after each event and at least every {@link
 * #POLL_INTERVAL_NANOS} while work is queued, sends the calls that the poll dispatches, and reports
 * the end of each call. Not thread-safe.
 *
 * @param <T> the type of the work
 */
public final class PoolPolicy<T> {
    /** The maximum time between two polls while work is queued, in nanoseconds. */
    public static final long POLL_INTERVAL_NANOS = 10_000_000L;

    private static final double UNKNOWN_COST_NANOS = 10e6;
    private static final double MEDIAN = 0.5;
    private static final double OVERDUE_QUANTILE = 0.99;
    private static final double RATE_BURST_SECONDS = 0.1;

    private static final long FIRST_PRIORITY_PROBE_DELAY_NANOS = 3_000_000_000L;

    private record Work<T>(T item, StageRequest request) {}

    private final PolicySettings settings;
    private final String failureDomain;
    private final StageBudgets budgets;
    private final ExtraCostBudgets extraCost;
    private final ChoiceRule rule;
    private final WorkerTable workers;
    private final AdmissionQueue<Work<T>> queue;
    private final HedgedCalls hedgedCalls = new HedgedCalls();
    private int callsPerSecondLimit;
    private int routers;
    private TokenBucket rateLimit;

    PoolPolicy(
            Pool pool,
            RouterPolicy<T> router,
            String failureDomain,
            PolicySettings settings,
            ChoiceRule rule,
            long nowNanos) {
        this.settings = settings;
        this.failureDomain = failureDomain;
        this.budgets = router.budgets();
        this.extraCost = router.extraCostBudgets();
        this.rule = rule;
        this.callsPerSecondLimit = pool.callsPerSecondLimit();
        this.workers =
                new WorkerTable(
                        pool.concurrencyPerUpstream(), router.routers(), settings.routing());
        this.queue = new AdmissionQueue<>(settings.maxQueuedPerClass(), router::weightOf);
        pool.upstreams().forEach(u -> workers.add(u, false, nowNanos));
        setRouters(router.routers(), router.position(), nowNanos);
    }

    /**
     * Returns the worker table, which the caller updates with joins, leaves, load reports and cache
     * events.
     *
     * @return the table
     */
    public WorkerTable workers() {
        return workers;
    }

    /**
     * Applies changed limits of the pool.
     *
     * @param pool the pool from the current inventory
     * @param nowNanos the current time
     */
    public void setLimits(Pool pool, long nowNanos) {
        workers.setConcurrency(pool.concurrencyPerUpstream());
        if (callsPerSecondLimit != pool.callsPerSecondLimit()) {
            callsPerSecondLimit = pool.callsPerSecondLimit();
            updateRateLimit(nowNanos);
        }
    }

    /**
     * Checks whether a stage would be refused now.
     *
     * @param request the stage
     * @param nowNanos the current time
     * @return the refusal, or empty if the stage would be queued
     */
    public Optional<Refusal> check(StageRequest request, long nowNanos) {
        if (!settings.refusesInfeasible()) {
            return Optional.empty();
        }
        return queue.check(admission(request), nowNanos);
    }

    /**
     * Estimates how long a stage offered now would be queued.
     *
     * @param request the stage
     * @param nowNanos the current time
     * @return the expected wait in nanoseconds
     */
    public double expectedWaitNanos(StageRequest request, long nowNanos) {
        return queue.expectedWaitNanos(admission(request), nowNanos);
    }

    /**
     * Enqueues a stage if it passes the admission check.
     *
     * @param item the work item, returned by the poll that dispatches or drops it
     * @param request the stage
     * @param nowNanos the current time
     * @return the refusal, or empty if it was queued
     */
    public Optional<Refusal> offer(T item, StageRequest request, long nowNanos) {
        Work<T> work = new Work<>(item, request);
        if (settings.refusesInfeasible()) {
            return queue.offer(work, admission(request), nowNanos);
        }
        queue.enqueue(work, admission(request), nowNanos);
        return Optional.empty();
    }

    /**
     * Decides what to send and what to drop now.
     *
     * @param nowNanos the current time
     * @param random the source of randomness
     * @return the decisions; each dispatched call counts as open
     */
    public PollResult<T> poll(long nowNanos, RandomGenerator random) {
        List<Dropped<T>> dropped = new ArrayList<>();
        if (settings.refusesInfeasible()) {
            for (Dropped<Work<T>> work : queue.dropInfeasible(nowNanos)) {
                dropped.add(new Dropped<>(work.item().item(), work.refusal()));
            }
        }
        List<Dispatch<T>> dispatches = new ArrayList<>();
        Optional<Dispatch<T>> next = dispatchNext(nowNanos, random);
        while (next.isPresent()) {
            dispatches.add(next.get());
            next = dispatchNext(nowNanos, random);
        }
        return new PollResult<>(dispatches, dropped);
    }

    /**
     * Returns whether work is queued.
     *
     * @return whether a later poll may dispatch or drop work
     */
    public boolean hasWaiting() {
        return queue.size() > 0;
    }

    /**
     * Returns the time after its start at which a call should be hedged.
     *
     * @param request the stage
     * @return the delay in nanoseconds, or empty if hedging is not allowed or there are too few
     *     observations
     */
    public OptionalLong hedgeDelayNanos(StageRequest request) {
        if (!request.idempotent() || request.requestClass().extraCostPercent() == 0) {
            return OptionalLong.empty();
        }
        return budgets.quantileNanos(request.key(), settings.hedgeQuantile());
    }

    /**
     * Returns the time after its start at which an open call should be reported as overdue.
     *
     * @param request the stage
     * @return the delay in nanoseconds, or empty if there are too few observations
     */
    public OptionalLong overdueDelayNanos(StageRequest request) {
        OptionalLong median = budgets.quantileNanos(request.key(), MEDIAN);
        OptionalLong high = budgets.quantileNanos(request.key(), OVERDUE_QUANTILE);
        if (median.isEmpty() || high.isEmpty()) {
            return OptionalLong.empty();
        }
        double slow = (double) median.getAsLong() * settings.routing().slowCallRatio();
        return OptionalLong.of((long) Math.max(slow, (double) high.getAsLong()));
    }

    /**
     * Starts a hedge of an open call if the extra cost budget covers it and a worker has capacity.
     * The caller may try again after half the hedge delay, since no worker may have had capacity,
     * or the hedge may hang as well.
     *
     * @param request the stage
     * @param first the slow call
     * @param nowNanos the current time
     * @param random the source of randomness
     * @return the second call, open, or empty if no hedge may be sent
     */
    public Optional<OpenCall> hedge(
            StageRequest request, OpenCall first, long nowNanos, RandomGenerator random) {
        if (!request.idempotent() || request.deadlineNanos() <= nowNanos) {
            return Optional.empty();
        }
        Set<String> excluded = new HashSet<>(request.excluded());
        excluded.add(first.upstream().name());
        ChoiceContext context = context(request.withExcluded(excluded), ChoiceContext.NO_PROBE);
        Optional<Upstream> chosen = rule.choose(workers, context, nowNanos, random);
        if (chosen.isEmpty() || !extraCost.of(request.requestClass()).tryWithdraw(cost(request))) {
            return Optional.empty();
        }
        OpenCall second = workers.onStart(chosen.get(), nowNanos);
        hedgedCalls.add(first, second, cost(request));
        return Optional.of(second);
    }

    /**
     * Reports that an open call is overdue; at most once for each call.
     *
     * @param call the call
     * @param nowNanos the current time
     */
    public void onOverdue(OpenCall call, long nowNanos) {
        workers.onOverdue(call, nowNanos);
    }

    /**
     * Reports the end of a call by answer or failure.
     *
     * @param request the stage
     * @param call the call
     * @param outcome how it ended
     * @param nowNanos the current time
     */
    public void onEnd(StageRequest request, OpenCall call, Outcome outcome, long nowNanos) {
        hedgedCalls.remove(call);
        boolean answered = outcome == Outcome.ANSWERED;
        double slowness = answered ? slowness(request, call, nowNanos) : 0;
        workers.onEnd(call, outcome, slowness, nowNanos);
        if (answered) {
            budgets.record(request.key(), nowNanos - call.startNanos());
            extraCost.of(request.requestClass()).deposit(cost(request));
        }
    }

    /**
     * Reports that a call was cancelled, for example because another call of the same stage was
     * answered first.
     *
     * @param request the stage
     * @param call the call
     * @param nowNanos the current time
     */
    public void onCancelled(StageRequest request, OpenCall call, long nowNanos) {
        workers.onCancelled(call, slowness(request, call, nowNanos), nowNanos);
        double spent = Math.min(cost(request), (double) (nowNanos - call.startNanos()));
        extraCost.of(request.requestClass()).refund(hedgedCalls.removeCancelled(call, spent));
    }

    void setRouters(int count, int position, long nowNanos) {
        workers.setRouters(count, position);
        routers = count;
        updateRateLimit(nowNanos);
    }

    private void updateRateLimit(long nowNanos) {
        if (callsPerSecondLimit == 0) {
            rateLimit = null;
            return;
        }
        double share = (double) callsPerSecondLimit / routers;
        if (rateLimit == null) {
            rateLimit = new TokenBucket(share, RATE_BURST_SECONDS, nowNanos);
        } else {
            rateLimit.setRate(share, nowNanos);
        }
    }

    private Optional<Dispatch<T>> dispatchNext(long nowNanos, RandomGenerator random) {
        if (rateLimit != null && rateLimit.nextTokenInNanos(nowNanos) > 0) {
            return Optional.empty();
        }
        double exhaustedHeadroom = 0;
        for (Queued<Work<T>> head : queue.heads()) {
            StageRequest request = head.item().request();
            ChoiceContext context = context(request, probeDelayNanos(request));
            if (context.headroom() <= exhaustedHeadroom) {
                continue;
            }
            Optional<Upstream> chosen = rule.choose(workers, context, nowNanos, random);
            if (chosen.isPresent()) {
                queue.dequeue(head, nowNanos);
                return Optional.of(start(head, chosen.get(), nowNanos));
            }
            if (request.excluded().isEmpty()) {
                exhaustedHeadroom = Math.max(exhaustedHeadroom, context.headroom());
            }
        }
        return Optional.empty();
    }

    private Dispatch<T> start(Queued<Work<T>> head, Upstream chosen, long nowNanos) {
        if (rateLimit != null) {
            rateLimit.tryTake(nowNanos);
        }
        OpenCall call = workers.onStart(chosen, nowNanos);
        long queuedNanos = nowNanos - head.enqueuedNanos();
        return new Dispatch<>(head.item().item(), head.item().request(), call, queuedNanos);
    }

    /**
     * A probe puts the deadline of its call at risk. Work of the first priority therefore probes a
     * worker only if no other work has done so for some time after the end of the ejection.
     */
    private static long probeDelayNanos(StageRequest request) {
        if (!request.idempotent()) {
            return ChoiceContext.NO_PROBE;
        }
        return request.requestClass().priority() == 0 ? FIRST_PRIORITY_PROBE_DELAY_NANOS : 0;
    }

    private ChoiceContext context(StageRequest request, long probeDelayNanos) {
        boolean first = request.requestClass().priority() == 0;
        double headroom = first ? settings.firstPriorityHeadroom() : settings.headroom();
        return new ChoiceContext(
                request.excluded(), failureDomain, request.prefixHash(), probeDelayNanos, headroom);
    }

    private AdmissionRequest admission(StageRequest request) {
        return new AdmissionRequest(
                request.requestClass(),
                request.workspace(),
                request.deadlineNanos(),
                budgets.needNanos(request.remaining()),
                cost(request));
    }

    private double cost(StageRequest request) {
        OptionalLong median = budgets.quantileNanos(request.key(), MEDIAN);
        return median.isPresent() ? median.getAsLong() : UNKNOWN_COST_NANOS;
    }

    private double slowness(StageRequest request, OpenCall call, long nowNanos) {
        OptionalLong median = budgets.quantileNanos(request.key(), MEDIAN);
        if (median.isEmpty()) {
            return 0;
        }
        return (double) (nowNanos - call.startNanos()) / median.getAsLong();
    }
}
