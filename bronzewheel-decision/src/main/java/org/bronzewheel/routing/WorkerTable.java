package org.bronzewheel.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;

/**
 * The workers of one pool as seen by one router, with the choice of a worker for a call.
 *
 * <p>A choice samples a bounded number of workers, so that its cost does not grow with the pool.
 * The load from other routers is taken from load reports, weighted by their age; without a report,
 * the other routers are assumed to send as much as this one. Not thread-safe.
 */
public final class WorkerTable {
    /**
     * The position of a router that does not know its own and therefore sends to the whole pool.
     */
    public static final int UNKNOWN_POSITION = -1;

    private static final int MAX_SAMPLES = 16;
    private static final int MAX_CANDIDATES = 4;

    private int concurrencyPerUpstream;
    private final RoutingSettings settings;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final List<Worker> active = new ArrayList<>();
    private final List<Worker> ejected = new ArrayList<>();
    private final PrefixTable prefixes = new PrefixTable();
    private int routers;
    private int routerPosition = UNKNOWN_POSITION;
    private boolean subsetOutdated;
    private int ownInFlight;
    private int ownInFlightAtActive;

    /**
     * Creates an empty table.
     *
     * @param concurrencyPerUpstream the number of calls that one worker processes concurrently
     * @param routers the number of routers that share the pool, at least 1
     * @param settings the settings of the worker choice
     */
    public WorkerTable(int concurrencyPerUpstream, int routers, RoutingSettings settings) {
        this.concurrencyPerUpstream = concurrencyPerUpstream;
        this.routers = routers;
        this.settings = settings;
    }

    /**
     * Sets the number of calls that one worker processes concurrently.
     *
     * @param calls the number, at least 1
     */
    public void setConcurrency(int calls) {
        concurrencyPerUpstream = calls;
    }

    /**
     * Sets the routers that share the pool. In a large pool, the position determines the subset of
     * workers that this router sends to; routers at different positions cover the pool evenly.
     *
     * @param count the number of routers, at least 1
     * @param position the index of this router in the order of all routers, from 0, or {@link
     *     #UNKNOWN_POSITION}
     */
    public void setRouters(int count, int position) {
        subsetOutdated |= count != routers || position != routerPosition;
        routers = count;
        routerPosition = position;
    }

    /**
     * Adds a worker, or replaces it if its address changed. Workers that join after the initial
     * ones should begin with a slow start.
     *
     * @param upstream the worker
     * @param slowStart whether the worker begins with a fraction of its full load
     * @param nowNanos the current time
     */
    public void add(Upstream upstream, boolean slowStart, long nowNanos) {
        Worker known = workers.get(upstream.name());
        if (known != null && known.upstream.equals(upstream)) {
            return;
        }
        remove(upstream.name());
        long slowStartBegin = slowStart ? nowNanos : nowNanos - settings.slowStartNanos();
        Worker worker = new Worker(upstream, slowStartBegin);
        workers.put(upstream.name(), worker);
        subsetOutdated = true;
    }

    /**
     * Removes a worker. Calls still open at it may be ended as usual.
     *
     * @param upstream its name
     */
    public void remove(String upstream) {
        Worker worker = workers.remove(upstream);
        if (worker == null) {
            return;
        }
        ownInFlight -= worker.ownInFlight;
        subsetOutdated = true;
        removeFromList(worker);
    }

    /**
     * Sets whether a worker is leaving; a leaving worker gets no new calls.
     *
     * @param upstream its name
     * @param leaving whether it is leaving
     */
    public void setLeaving(String upstream, boolean leaving) {
        Worker worker = workers.get(upstream);
        if (worker == null || worker.leaving == leaving) {
            return;
        }
        worker.leaving = leaving;
        removeFromList(worker);
        worker.ejected = false;
        if (!leaving && worker.inSubset) {
            activate(worker);
        }
    }

    /**
     * Applies a load report unless it is no newer than the last one.
     *
     * @param report the report
     */
    public void onLoadReport(LoadReport report) {
        Worker worker = workers.get(report.upstream());
        if (worker != null) {
            worker.applyReport(report);
        }
    }

    /**
     * Records that a worker stored a prompt prefix.
     *
     * @param upstream its name
     * @param prefixHash the hash of the prefix, not 0
     */
    public void onPrefixStored(String upstream, long prefixHash) {
        prefixes.stored(prefixHash, upstream);
    }

    /**
     * Records that a worker evicted a prompt prefix.
     *
     * @param upstream its name
     * @param prefixHash the hash of the prefix
     */
    public void onPrefixEvicted(String upstream, long prefixHash) {
        prefixes.evicted(prefixHash, upstream);
    }

    /**
     * Chooses a worker with capacity for one more call.
     *
     * @param context the constraints and preferences of the call
     * @param nowNanos the current time
     * @param random the source of randomness
     * @return the worker, or empty if none has capacity
     */
    public Optional<Upstream> choose(ChoiceContext context, long nowNanos, RandomGenerator random) {
        updateSubset();
        if (context.probeDelayNanos() != ChoiceContext.NO_PROBE) {
            Worker probeTarget = findProbeTarget(context, nowNanos);
            if (probeTarget != null) {
                return Optional.of(probeTarget.upstream);
            }
        }
        Worker best = prefixHolderWithRoom(context, nowNanos);
        int candidates = 0;
        int samples = Math.min(MAX_SAMPLES, active.size());
        for (int i = 0; i < samples && candidates < MAX_CANDIDATES; i++) {
            Worker candidate = sample(i, random);
            if (!hasRoom(candidate, context, nowNanos)) {
                continue;
            }
            candidates++;
            if (best == null
                    || score(candidate, context, nowNanos) < score(best, context, nowNanos)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(w -> w.upstream);
    }

    /**
     * Records the start of a call.
     *
     * @param upstream the chosen worker
     * @param nowNanos the current time
     * @return the open call, to be passed to {@link #onEnd} or {@link #onCancelled}
     */
    public OpenCall onStart(Upstream upstream, long nowNanos) {
        updateSubset();
        Worker worker = workers.get(upstream.name());
        if (worker == null) {
            return new OpenCall(upstream, nowNanos, false);
        }
        changeOwnInFlight(worker, 1, nowNanos);
        if (worker.ejected) {
            worker.probing = true;
        }
        return new OpenCall(upstream, nowNanos, worker.ejected);
    }

    /**
     * Records the end of an answered or failed call.
     *
     * @param call the call
     * @param outcome how it ended
     * @param slowness the ratio of its latency to the median of its stage and request class, or 0
     *     if unknown
     * @param nowNanos the current time
     */
    public void onEnd(OpenCall call, Outcome outcome, double slowness, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker == null || !worker.upstream.equals(call.upstream())) {
            return;
        }
        changeOwnInFlight(worker, -1, nowNanos);
        boolean bad = outcome != Outcome.ANSWERED || slowness >= settings.slowCallRatio();
        if (slowness > 0) {
            worker.observeSlowness(slowness);
        }
        recordResult(worker, call, bad, nowNanos);
    }

    /**
     * Records the cancellation of a call. The time it ran is only a lower bound of its latency.
     *
     * @param call the call
     * @param slowness the ratio of the time it ran to the median latency, or 0 if unknown
     * @param nowNanos the current time
     */
    public void onCancelled(OpenCall call, double slowness, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker == null || !worker.upstream.equals(call.upstream())) {
            return;
        }
        changeOwnInFlight(worker, -1, nowNanos);
        boolean slow = slowness >= settings.slowCallRatio();
        if (slow) {
            worker.observeSlowness(slowness);
        }
        if (slow || call.probe()) {
            recordResult(worker, call, true, nowNanos);
        }
    }

    /**
     * Records that an open call is overdue, so that a hung worker is ejected before its calls end.
     * Called at most once per call.
     *
     * @param call the call
     * @param nowNanos the current time
     */
    public void onOverdue(OpenCall call, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker != null && !worker.ejected) {
            recordResult(worker, call, true, nowNanos);
        }
    }

    /**
     * Returns the workers that this router sends to, ejected ones included.
     *
     * @return the workers, in no particular order
     */
    public List<Upstream> members() {
        updateSubset();
        List<Upstream> members = new ArrayList<>(active.size() + ejected.size());
        active.forEach(w -> members.add(w.upstream));
        ejected.forEach(w -> members.add(w.upstream));
        return members;
    }

    /**
     * Returns whether a worker has capacity for a call.
     *
     * @param upstream its name
     * @param context the constraints and preferences of the call
     * @param nowNanos the current time
     * @return whether it has capacity; false for an unknown, excluded or leaving worker
     */
    public boolean hasRoom(String upstream, ChoiceContext context, long nowNanos) {
        updateSubset();
        Worker worker = workers.get(upstream);
        return worker != null && worker.listIndex >= 0 && hasRoom(worker, context, nowNanos);
    }

    /**
     * Returns the number of this router's calls in flight at one worker.
     *
     * @param upstream its name
     * @return the number, 0 for an unknown worker
     */
    public int ownInFlight(String upstream) {
        Worker worker = workers.get(upstream);
        return worker == null ? 0 : worker.ownInFlight;
    }

    /**
     * Returns the number of this router's calls in flight.
     *
     * @return the number, over all workers
     */
    public int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the number of workers that this router sends to.
     *
     * @return the number of workers in its subset that are neither leaving nor ejected
     */
    public int activeCount() {
        updateSubset();
        return active.size();
    }

    /**
     * Returns the number of ejected workers.
     *
     * @return the number
     */
    public int ejectedCount() {
        return ejected.size();
    }

    /**
     * Estimates the calls in flight of all routers at a worker.
     *
     * @param upstream its name
     * @param nowNanos the current time
     * @return the estimate, 0 for an unknown worker
     */
    public double estimatedLoad(String upstream, long nowNanos) {
        updateSubset();
        Worker worker = workers.get(upstream);
        return worker == null ? 0 : load(worker, nowNanos);
    }

    /** Draws the i-th sample without replacement by a partial Fisher-Yates shuffle. */
    private Worker sample(int i, RandomGenerator random) {
        int other = i + random.nextInt(active.size() - i);
        Worker drawn = active.get(other);
        Worker first = active.get(i);
        active.set(i, drawn);
        drawn.listIndex = i;
        active.set(other, first);
        first.listIndex = other;
        return drawn;
    }

    private boolean hasRoom(Worker worker, ChoiceContext context, long nowNanos) {
        if (context.excluded().contains(worker.upstream.name())) {
            return false;
        }
        double slowStartFraction = worker.slowStartFraction(settings.slowStartNanos(), nowNanos);
        double room = concurrencyPerUpstream * context.headroom() * slowStartFraction;
        return worker.ownInFlight + expectedOtherLoad() < room || load(worker, nowNanos) < room;
    }

    private double score(Worker worker, ChoiceContext context, long nowNanos) {
        double perSlot = (load(worker, nowNanos) + 1) / concurrencyPerUpstream;
        double score =
                perSlot
                        * worker.slowness
                        / worker.slowStartFraction(settings.slowStartNanos(), nowNanos);
        if (worker.upstream.name().equals(prefixes.holder(context.prefixHash()))) {
            score -= settings.prefixBonus();
        }
        if (worker.upstream.failureDomain().equals(context.failureDomain())) {
            score -= settings.localityBonus();
        }
        return score;
    }

    private double load(Worker worker, long nowNanos) {
        return worker.estimatedLoad(expectedOtherLoad(), settings.reportHalfLifeNanos(), nowNanos);
    }

    /**
     * Estimates the calls of other routers at one worker, assuming that each sends as much as this
     * one.
     */
    private double expectedOtherLoad() {
        double routersPerWorker = (double) routers / subsetCount();
        return Math.max(0, routersPerWorker - 1) * ownInFlightAtActive / Math.max(1, active.size());
    }

    /**
     * Recomputes the subset of the pool that this router sends to, if the workers or routers
     * changed.
     */
    private void updateSubset() {
        if (!subsetOutdated) {
            return;
        }
        subsetOutdated = false;
        List<Upstream> pool = workers.values().stream().map(w -> w.upstream).toList();
        Set<String> names = Subset.of(pool, Math.max(0, routerPosition), subsetCount());
        for (Worker worker : workers.values()) {
            setInSubset(worker, names.contains(worker.upstream.name()));
        }
    }

    private int subsetCount() {
        boolean known = routerPosition != UNKNOWN_POSITION;
        return known ? Math.max(1, workers.size() / settings.subsetSize()) : 1;
    }

    private void setInSubset(Worker worker, boolean inSubset) {
        if (worker.inSubset == inSubset) {
            return;
        }
        worker.inSubset = inSubset;
        removeFromList(worker);
        worker.ejected = false;
        if (inSubset && !worker.leaving) {
            activate(worker);
        }
    }

    private void changeOwnInFlight(Worker worker, int change, long nowNanos) {
        worker.changeOwnInFlight(change, nowNanos);
        ownInFlight += change;
        if (isActive(worker)) {
            ownInFlightAtActive += change;
        }
    }

    private static boolean isActive(Worker worker) {
        return worker.listIndex >= 0 && !worker.ejected;
    }

    private Worker prefixHolderWithRoom(ChoiceContext context, long nowNanos) {
        String name = prefixes.holder(context.prefixHash());
        Worker holder = name == null ? null : workers.get(name);
        if (holder == null || !isActive(holder)) {
            return null;
        }
        return hasRoom(holder, context, nowNanos) ? holder : null;
    }

    private Worker findProbeTarget(ChoiceContext context, long nowNanos) {
        long dueNanos = nowNanos - context.probeDelayNanos();
        for (Worker worker : ejected) {
            boolean excluded = context.excluded().contains(worker.upstream.name());
            if (!worker.probing && !excluded && worker.ejectedUntilNanos <= dueNanos) {
                return worker;
            }
        }
        return null;
    }

    private void recordResult(Worker worker, OpenCall call, boolean bad, long nowNanos) {
        if (worker.ejected) {
            endProbe(worker, call, bad, nowNanos);
            return;
        }
        worker.consecutiveBadCalls = bad ? worker.consecutiveBadCalls + 1 : 0;
        if (worker.consecutiveBadCalls >= settings.ejectAfterBadCalls() && isActive(worker)) {
            eject(worker, nowNanos);
        }
    }

    private void eject(Worker worker, long nowNanos) {
        int poolSize = active.size() + ejected.size();
        if ((ejected.size() + 1) * 100 > poolSize * settings.maxEjectedPercent()) {
            return;
        }
        worker.ejectionNanos = settings.ejectionNanos();
        worker.ejectedUntilNanos = nowNanos + worker.ejectionNanos;
        removeFromList(worker);
        worker.ejected = true;
        append(ejected, worker);
    }

    private void endProbe(Worker worker, OpenCall call, boolean bad, long nowNanos) {
        if (!call.probe()) {
            return;
        }
        worker.probing = false;
        if (bad) {
            worker.ejectionNanos = Math.min(worker.ejectionNanos * 2, settings.maxEjectionNanos());
            worker.ejectedUntilNanos = nowNanos + worker.ejectionNanos;
            return;
        }
        removeFromList(worker);
        worker.ejected = false;
        worker.consecutiveBadCalls = 0;
        worker.slowness = 1;
        worker.slowStartBeginNanos = nowNanos;
        activate(worker);
    }

    private void activate(Worker worker) {
        append(active, worker);
        ownInFlightAtActive += worker.ownInFlight;
    }

    private static void append(List<Worker> list, Worker worker) {
        worker.listIndex = list.size();
        list.add(worker);
    }

    private void removeFromList(Worker worker) {
        if (worker.listIndex < 0) {
            return;
        }
        List<Worker> list = worker.ejected ? ejected : active;
        if (!worker.ejected) {
            ownInFlightAtActive -= worker.ownInFlight;
        }
        Worker last = list.remove(list.size() - 1);
        if (last != worker) {
            list.set(worker.listIndex, last);
            last.listIndex = worker.listIndex;
        }
        worker.listIndex = -1;
    }
}
