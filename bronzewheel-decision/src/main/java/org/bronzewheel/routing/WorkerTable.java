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
 * A table of the workers of one pool as one router sees them, with the choice among them.
 *
 * <p>A choice samples a bounded number of workers, so that its cost does not grow with the pool.
 * Calls of other routers are taken from load reports, aged by their lag; where no report is known,
 * the other routers are taken to send as much as this one. Not safe for use by several threads.
 */
public final class WorkerTable {
    /** The position of a router that does not know it and therefore sends to the whole pool. */
    public static final int UNKNOWN_POSITION = -1;

    private static final int MAX_SAMPLES = 16;
    private static final int CHOICES = 4;

    private int concurrencyPerUpstream;
    private final RoutingSettings settings;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final List<Worker> active = new ArrayList<>();
    private final List<Worker> ejected = new ArrayList<>();
    private final PrefixTable prefixes = new PrefixTable();
    private int routers;
    private int routerPosition = UNKNOWN_POSITION;
    private boolean selectionDue;
    private int ownInFlight;
    private int ownAtActive;

    /**
     * Creates an empty table.
     *
     * @param concurrencyPerUpstream calls that one worker works on at once
     * @param routers the number of routers that share the pool, at least 1
     * @param settings constants of the choice
     */
    public WorkerTable(int concurrencyPerUpstream, int routers, RoutingSettings settings) {
        this.concurrencyPerUpstream = concurrencyPerUpstream;
        this.routers = routers;
        this.settings = settings;
    }

    /**
     * Sets the calls that one worker works on at once.
     *
     * @param calls the number, at least 1
     */
    public void setConcurrency(int calls) {
        concurrencyPerUpstream = calls;
    }

    /**
     * Sets the routers that share the pool. In a large pool, the position decides which part of the
     * pool this router sends to; routers at different positions cover the pool evenly.
     *
     * @param count the number of routers, at least 1
     * @param position the position of this router in the order of all, from 0, or {@link
     *     #UNKNOWN_POSITION}
     */
    public void setRouters(int count, int position) {
        selectionDue |= count != routers || position != routerPosition;
        routers = count;
        routerPosition = position;
    }

    /**
     * Adds a worker, or updates its address; a worker that joins later than the first ones starts
     * slowly.
     *
     * @param upstream the worker
     * @param slowStart whether to begin with a small part of its share
     * @param nowNanos the present time
     */
    public void add(Upstream upstream, boolean slowStart, long nowNanos) {
        Worker known = workers.get(upstream.name());
        if (known != null && known.upstream.equals(upstream)) {
            return;
        }
        remove(upstream.name());
        long rampFrom = slowStart ? nowNanos : nowNanos - settings.slowStartNanos();
        Worker worker = new Worker(upstream, rampFrom);
        workers.put(upstream.name(), worker);
        selectionDue = true;
    }

    /**
     * Removes a worker; its open calls may still end.
     *
     * @param upstream its name
     */
    public void remove(String upstream) {
        Worker worker = workers.remove(upstream);
        if (worker == null) {
            return;
        }
        ownInFlight -= worker.ownInFlight;
        selectionDue = true;
        detach(worker);
    }

    /**
     * Marks a worker as leaving or staying; a leaving worker gets no new call.
     *
     * @param upstream its name
     * @param leaving whether it leaves
     */
    public void setLeaving(String upstream, boolean leaving) {
        Worker worker = workers.get(upstream);
        if (worker == null || worker.leaving == leaving) {
            return;
        }
        worker.leaving = leaving;
        detach(worker);
        worker.ejected = false;
        if (!leaving && worker.selected) {
            activate(worker);
        }
    }

    /**
     * Takes a load report; one that is not newer than the last is ignored.
     *
     * @param report the report
     */
    public void onLoadReport(LoadReport report) {
        Worker worker = workers.get(report.upstream());
        if (worker != null) {
            worker.apply(report);
        }
    }

    /**
     * Takes the event that a worker stored a prompt prefix.
     *
     * @param upstream its name
     * @param prefixHash the hash of the prefix, not 0
     */
    public void onPrefixStored(String upstream, long prefixHash) {
        prefixes.stored(prefixHash, upstream);
    }

    /**
     * Takes the event that a worker evicted a prompt prefix.
     *
     * @param upstream its name
     * @param prefixHash the hash of the prefix
     */
    public void onPrefixEvicted(String upstream, long prefixHash) {
        prefixes.evicted(prefixHash, upstream);
    }

    /**
     * Chooses a worker with room for one more call.
     *
     * @param context what the call asks
     * @param nowNanos the present time
     * @param random the source of randomness
     * @return the worker, or empty where none has room
     */
    public Optional<Upstream> choose(ChoiceContext context, long nowNanos, RandomGenerator random) {
        select();
        if (context.probeDelayNanos() != ChoiceContext.NO_PROBE) {
            Worker due = dueForProbe(context, nowNanos);
            if (due != null) {
                return Optional.of(due.upstream);
            }
        }
        Worker best = holderOf(context, nowNanos);
        int found = 0;
        int samples = Math.min(MAX_SAMPLES, active.size());
        for (int i = 0; i < samples && found < CHOICES; i++) {
            Worker candidate = sample(i, random);
            if (!hasRoom(candidate, context, nowNanos)) {
                continue;
            }
            found++;
            if (best == null
                    || score(candidate, context, nowNanos) < score(best, context, nowNanos)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(w -> w.upstream);
    }

    /**
     * Books the start of a call.
     *
     * @param upstream the chosen worker
     * @param nowNanos the present time
     * @return the open call, to be handed to {@link #onEnd}
     */
    public OpenCall onStart(Upstream upstream, long nowNanos) {
        select();
        Worker worker = workers.get(upstream.name());
        if (worker == null) {
            return new OpenCall(upstream, nowNanos, false);
        }
        addOwn(worker, 1, nowNanos);
        if (worker.ejected) {
            worker.probing = true;
        }
        return new OpenCall(upstream, nowNanos, worker.ejected);
    }

    /**
     * Books the end of a call by answer or failure.
     *
     * @param call the call
     * @param outcome how it ended
     * @param slowness its latency relative to the usual one of its stage and request class, or 0
     *     where unknown
     * @param nowNanos the present time
     */
    public void onEnd(OpenCall call, Outcome outcome, double slowness, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker == null || !worker.upstream.equals(call.upstream())) {
            return;
        }
        addOwn(worker, -1, nowNanos);
        boolean bad = outcome != Outcome.ANSWERED || slowness >= settings.slowCallRatio();
        if (slowness > 0) {
            worker.observeSlowness(slowness);
        }
        judge(worker, call, bad, nowNanos);
    }

    /**
     * Books the cancellation of a call, which tells only that it took at least so long.
     *
     * @param call the call
     * @param slowness the time it ran relative to the usual latency, or 0 where unknown
     * @param nowNanos the present time
     */
    public void onCancelled(OpenCall call, double slowness, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker == null || !worker.upstream.equals(call.upstream())) {
            return;
        }
        addOwn(worker, -1, nowNanos);
        boolean slow = slowness >= settings.slowCallRatio();
        if (slow) {
            worker.observeSlowness(slowness);
        }
        if (slow || call.probe()) {
            judge(worker, call, true, nowNanos);
        }
    }

    /**
     * Takes the hint that a call is overdue while it is still open, so that a worker that hangs is
     * found before its calls end. Called at most once for each call.
     *
     * @param call the call
     * @param nowNanos the present time
     */
    public void onOverdue(OpenCall call, long nowNanos) {
        Worker worker = workers.get(call.upstream().name());
        if (worker != null && !worker.ejected) {
            judge(worker, call, true, nowNanos);
        }
    }

    /**
     * Returns the workers that this router sends to, ejected ones included.
     *
     * @return the workers in no particular order
     */
    public List<Upstream> members() {
        select();
        List<Upstream> members = new ArrayList<>(active.size() + ejected.size());
        active.forEach(w -> members.add(w.upstream));
        ejected.forEach(w -> members.add(w.upstream));
        return members;
    }

    /**
     * Tells whether a worker has room for a call.
     *
     * @param upstream its name
     * @param context what the call asks
     * @param nowNanos the present time
     * @return false also for an unknown, an excluded and a leaving worker
     */
    public boolean hasRoom(String upstream, ChoiceContext context, long nowNanos) {
        select();
        Worker worker = workers.get(upstream);
        return worker != null && worker.position >= 0 && hasRoom(worker, context, nowNanos);
    }

    /**
     * Returns the number of own calls in flight at one worker.
     *
     * @param upstream its name
     * @return the number, 0 for an unknown worker
     */
    public int ownInFlight(String upstream) {
        Worker worker = workers.get(upstream);
        return worker == null ? 0 : worker.ownInFlight;
    }

    /**
     * Returns the number of own calls in flight.
     *
     * @return the number, over all workers
     */
    public int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the number of workers that get work of this router.
     *
     * @return workers of its part of the pool that are neither leaving nor ejected
     */
    public int activeCount() {
        select();
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
     * Returns the calls in flight of all routers at a worker, as estimated.
     *
     * @param upstream its name
     * @param nowNanos the present time
     * @return the estimate, 0 for an unknown worker
     */
    public double estimatedLoad(String upstream, long nowNanos) {
        select();
        Worker worker = workers.get(upstream);
        return worker == null ? 0 : load(worker, nowNanos);
    }

    /** Draws the i-th sample without replacement by a partial shuffle. */
    private Worker sample(int i, RandomGenerator random) {
        int other = i + random.nextInt(active.size() - i);
        Worker drawn = active.get(other);
        Worker first = active.get(i);
        active.set(i, drawn);
        drawn.position = i;
        active.set(other, first);
        first.position = other;
        return drawn;
    }

    private boolean hasRoom(Worker worker, ChoiceContext context, long nowNanos) {
        if (context.excluded().contains(worker.upstream.name())) {
            return false;
        }
        double ramp = worker.ramp(settings.slowStartNanos(), nowNanos);
        double room = concurrencyPerUpstream * context.headroom() * ramp;
        return worker.ownInFlight + usualOthers() < room || load(worker, nowNanos) < room;
    }

    private double score(Worker worker, ChoiceContext context, long nowNanos) {
        double perSlot = (load(worker, nowNanos) + 1) / concurrencyPerUpstream;
        double score = perSlot * worker.slowness / worker.ramp(settings.slowStartNanos(), nowNanos);
        if (worker.upstream.name().equals(prefixes.holder(context.prefixHash()))) {
            score -= settings.prefixBonus();
        }
        if (worker.upstream.failureDomain().equals(context.failureDomain())) {
            score -= settings.localityBonus();
        }
        return score;
    }

    private double load(Worker worker, long nowNanos) {
        return worker.estimatedLoad(usualOthers(), settings.reportHalfLifeNanos(), nowNanos);
    }

    /** Estimates the calls of other routers at one worker, as if each sent as much as this one. */
    private double usualOthers() {
        double sharers = (double) routers / parts();
        return Math.max(0, sharers - 1) * ownAtActive / Math.max(1, active.size());
    }

    /** Selects the part of the pool that this router sends to, where the lists changed. */
    private void select() {
        if (!selectionDue) {
            return;
        }
        selectionDue = false;
        List<Upstream> pool = workers.values().stream().map(w -> w.upstream).toList();
        Set<String> names = Subset.of(pool, Math.max(0, routerPosition), parts());
        for (Worker worker : workers.values()) {
            select(worker, names.contains(worker.upstream.name()));
        }
    }

    private int parts() {
        boolean known = routerPosition != UNKNOWN_POSITION;
        return known ? Math.max(1, workers.size() / settings.subsetSize()) : 1;
    }

    private void select(Worker worker, boolean selected) {
        if (worker.selected == selected) {
            return;
        }
        worker.selected = selected;
        detach(worker);
        worker.ejected = false;
        if (selected && !worker.leaving) {
            activate(worker);
        }
    }

    private void addOwn(Worker worker, int change, long nowNanos) {
        worker.addOwn(change, nowNanos);
        ownInFlight += change;
        if (isActive(worker)) {
            ownAtActive += change;
        }
    }

    private static boolean isActive(Worker worker) {
        return worker.position >= 0 && !worker.ejected;
    }

    private Worker holderOf(ChoiceContext context, long nowNanos) {
        String name = prefixes.holder(context.prefixHash());
        Worker holder = name == null ? null : workers.get(name);
        if (holder == null || !isActive(holder)) {
            return null;
        }
        return hasRoom(holder, context, nowNanos) ? holder : null;
    }

    private Worker dueForProbe(ChoiceContext context, long nowNanos) {
        long dueNanos = nowNanos - context.probeDelayNanos();
        for (Worker worker : ejected) {
            boolean excluded = context.excluded().contains(worker.upstream.name());
            if (!worker.probing && !excluded && worker.ejectedUntilNanos <= dueNanos) {
                return worker;
            }
        }
        return null;
    }

    private void judge(Worker worker, OpenCall call, boolean bad, long nowNanos) {
        if (worker.ejected) {
            endProbe(worker, call, bad, nowNanos);
            return;
        }
        worker.badCallsInRow = bad ? worker.badCallsInRow + 1 : 0;
        if (worker.badCallsInRow >= settings.ejectAfterBadCalls() && isActive(worker)) {
            eject(worker, nowNanos);
        }
    }

    private void eject(Worker worker, long nowNanos) {
        int serving = active.size() + ejected.size();
        if ((ejected.size() + 1) * 100 > serving * settings.maxEjectedPercent()) {
            return;
        }
        worker.ejectionNanos = settings.ejectionNanos();
        worker.ejectedUntilNanos = nowNanos + worker.ejectionNanos;
        detach(worker);
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
        detach(worker);
        worker.ejected = false;
        worker.badCallsInRow = 0;
        worker.slowness = 1;
        worker.rampFromNanos = nowNanos;
        activate(worker);
    }

    private void activate(Worker worker) {
        append(active, worker);
        ownAtActive += worker.ownInFlight;
    }

    private static void append(List<Worker> list, Worker worker) {
        worker.position = list.size();
        list.add(worker);
    }

    private void detach(Worker worker) {
        if (worker.position < 0) {
            return;
        }
        List<Worker> list = worker.ejected ? ejected : active;
        if (!worker.ejected) {
            ownAtActive -= worker.ownInFlight;
        }
        Worker last = list.remove(list.size() - 1);
        if (last != worker) {
            list.set(worker.position, last);
            last.position = worker.position;
        }
        worker.position = -1;
    }
}
