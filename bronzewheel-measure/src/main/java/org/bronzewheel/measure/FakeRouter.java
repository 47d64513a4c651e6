package org.bronzewheel.measure;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.policy.Dispatch;
import org.bronzewheel.policy.PollResult;
import org.bronzewheel.policy.PoolPolicy;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.policy.StageRequest;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.rules.RequestClass;

/** An executor of requests in virtual time that leaves each decision to the policies. */
final class FakeRouter {
    private static final int MAX_OPEN = 3;

    final String failureDomain;
    boolean dead;

    private final World world;
    private final EventLoop loop;
    private final RouterPolicy<Running> policy;
    private final RandomGenerator random;
    private final Map<String, PoolPolicy<Running>> pools = new TreeMap<>();
    private final Set<String> pollPending = new HashSet<>();

    FakeRouter(
            World world,
            String failureDomain,
            RouterPolicy<Running> policy,
            RandomGenerator random) {
        this.world = world;
        this.loop = world.loop;
        this.failureDomain = failureDomain;
        this.policy = policy;
        this.random = random;
        policy.setWorkspaces(world.profile.workspaces());
        for (Pool pool : world.profile.pools()) {
            pools.put(pool.name(), policy.pool(pool, loop.nowNanos()));
        }
    }

    PoolPolicy<Running> pool(String name) {
        return pools.get(name);
    }

    void routersAre(int count) {
        policy.setRouters(count, loop.nowNanos());
    }

    void take(Request request) {
        Running running = new Running(request);
        Kind kind = request.kind();
        var workspace =
                world.profile.workspaces().stream()
                        .filter(w -> w.name().equals(request.workspace()))
                        .findFirst()
                        .orElseThrow();
        var refusal =
                policy.admit(
                        kind.pipeline(),
                        classOf(kind),
                        workspace,
                        request.deadlineNanos(),
                        loop.nowNanos());
        if (refusal.isPresent()) {
            end(running, End.REFUSED);
            return;
        }
        long remaining = request.deadlineNanos() - loop.nowNanos();
        loop.after(remaining, () -> end(running, End.LATE));
        offer(running, Set.of());
    }

    private RequestClass classOf(Kind kind) {
        return world.variant.classes().apply(kind.requestClass());
    }

    private void offer(Running running, Set<String> excluded) {
        Request request = running.request;
        Kind kind = request.kind();
        var plain =
                RouterPolicy.stageRequest(
                        kind.pipeline(),
                        running.stageIndex,
                        classOf(kind),
                        request.workspace(),
                        request.deadlineNanos());
        boolean last = running.stageIndex == kind.stageMillis().size() - 1;
        running.stage =
                plain.withExcluded(Set.copyOf(excluded))
                        .withPrefixHash(last ? request.prefix() : 0);
        String pool = poolOf(running);
        if (pools.get(pool).offer(running, running.stage, loop.nowNanos()).isPresent()) {
            end(running, End.REFUSED);
            return;
        }
        poll(pool);
    }

    private static String poolOf(Running running) {
        return running.request.kind().pipeline().stages().get(running.stageIndex).pool();
    }

    private void poll(String pool) {
        if (dead) {
            return;
        }
        PollResult<Running> poll = pools.get(pool).poll(loop.nowNanos(), random);
        poll.dropped().forEach(d -> end(d.item(), End.REFUSED));
        poll.dispatches().forEach(d -> dispatch(pool, d));
        if (pools.get(pool).hasWaiting() && pollPending.add(pool)) {
            loop.after(
                    PoolPolicy.POLL_INTERVAL_NANOS,
                    () -> {
                        pollPending.remove(pool);
                        poll(pool);
                    });
        }
    }

    private void dispatch(String pool, Dispatch<Running> dispatch) {
        Running running = dispatch.item();
        if (running.ended) {
            pools.get(pool).onCancelled(dispatch.request(), dispatch.call(), loop.nowNanos());
            return;
        }
        running.attempts++;
        Attempt attempt = send(pool, running, dispatch.call());
        PoolPolicy<Running> policyOfPool = pools.get(pool);
        policyOfPool
                .hedgeDelayNanos(attempt.stage)
                .ifPresent(delay -> loop.after(delay, () -> hedge(pool, attempt)));
        policyOfPool
                .overdueDelayNanos(attempt.stage)
                .ifPresent(delay -> loop.after(delay, () -> overdue(pool, attempt)));
        long timeout = policy.attemptTimeoutNanos(attempt.stage, loop.nowNanos());
        loop.after(timeout, () -> timeOut(pool, attempt));
    }

    private Attempt send(String pool, Running running, OpenCall call) {
        Attempt attempt = new Attempt(running, call, world.worker(call.upstream().name()));
        running.open.add(attempt);
        running.tried.add(call.upstream().name());
        world.send(this, attempt.worker, () -> arrive(pool, attempt));
        return attempt;
    }

    private void arrive(String pool, Attempt attempt) {
        if (attempt.worker.refuses) {
            world.send(this, attempt.worker, () -> fail(pool, attempt, Outcome.NOT_RUN));
            return;
        }
        Request request = attempt.running.request;
        boolean last = attempt.stageIndex == request.kind().stageMillis().size() - 1;
        double mean = request.kind().stageMillis().get(attempt.stageIndex);
        double work = mean * (last ? request.size() : 1) * world.callNoise();
        double prefill = last ? mean * request.kind().prefillPercent() / 100 : 0;
        attempt.job =
                new Job(
                        request.kind().requestClass().priority(),
                        world.nextSequence(),
                        last ? request.prefix() : 0,
                        work,
                        Math.min(prefill, work / 2),
                        done -> {
                            attempt.job.doneMillis = done;
                            world.send(this, attempt.worker, () -> answer(pool, attempt, done));
                        });
        attempt.worker.submit(attempt.job);
    }

    private void answer(String pool, Attempt attempt, double doneMillis) {
        if (dead || !attempt.open) {
            book(attempt, dead ? CostKind.LATE : attempt.lostAs, doneMillis);
            return;
        }
        close(attempt);
        pools.get(pool).onEnd(attempt.stage, attempt.call, Outcome.ANSWERED, loop.nowNanos());
        policy.onSuccess();
        book(attempt, CostKind.PRIMARY, doneMillis);
        Running running = attempt.running;
        cancelOpen(running, CostKind.HEDGE);
        running.stageIndex++;
        running.attempts = 0;
        running.tried.clear();
        if (running.stageIndex == running.request.kind().stageMillis().size()) {
            end(running, End.ANSWERED);
        } else {
            offer(running, Set.of());
        }
        poll(pool);
    }

    private void fail(String pool, Attempt attempt, Outcome outcome) {
        if (dead || !attempt.open) {
            return;
        }
        close(attempt);
        pools.get(pool).onEnd(attempt.stage, attempt.call, outcome, loop.nowNanos());
        retryOrFail(attempt, outcome);
        poll(pool);
    }

    private void timeOut(String pool, Attempt attempt) {
        Running running = attempt.running;
        boolean alone = running.open.size() == 1;
        if (dead || !attempt.open || !alone || !attempt.stage.idempotent()) {
            return;
        }
        if (policy.tryRetry(attempt.stage, Outcome.UNKNOWN, running.attempts, loop.nowNanos())) {
            cancel(attempt, CostKind.RETRY);
            offer(running, running.tried);
            poll(pool);
        }
    }

    private void retryOrFail(Attempt attempt, Outcome outcome) {
        Running running = attempt.running;
        if (!running.open.isEmpty()) {
            return;
        }
        if (policy.tryRetry(attempt.stage, outcome, running.attempts, loop.nowNanos())) {
            offer(running, running.tried);
        } else {
            end(running, End.FAILED);
        }
    }

    private void hedge(String pool, Attempt first) {
        if (dead || !first.open || first.running.open.size() >= MAX_OPEN) {
            return;
        }
        StageRequest untried = first.stage.withExcluded(Set.copyOf(first.running.tried));
        Optional<OpenCall> call =
                pools.get(pool).hedge(untried, first.call, loop.nowNanos(), random);
        call.ifPresent(c -> send(pool, first.running, c));
        pools.get(pool)
                .hedgeDelayNanos(first.stage)
                .ifPresent(delay -> loop.after(delay / 2, () -> hedge(pool, first)));
    }

    private void overdue(String pool, Attempt attempt) {
        if (!dead && attempt.open) {
            pools.get(pool).onOverdue(attempt.call, loop.nowNanos());
        }
    }

    private void end(Running running, End end) {
        if (running.ended || dead) {
            return;
        }
        running.ended = true;
        cancelOpen(running, CostKind.LATE);
        world.ended(this, running.request, end);
    }

    private void cancelOpen(Running running, CostKind kind) {
        List.copyOf(running.open).forEach(a -> cancel(a, kind));
    }

    private void cancel(Attempt attempt, CostKind kind) {
        attempt.lostAs = kind;
        close(attempt);
        String pool =
                attempt.running.request.kind().pipeline().stages().get(attempt.stageIndex).pool();
        pools.get(pool).onCancelled(attempt.stage, attempt.call, loop.nowNanos());
        world.send(
                this,
                attempt.worker,
                () -> {
                    if (attempt.job != null && !attempt.job.ended) {
                        book(attempt, kind, attempt.worker.cancel(attempt.job));
                    }
                });
        loop.after(0, () -> poll(pool));
    }

    private void close(Attempt attempt) {
        attempt.open = false;
        attempt.running.open.remove(attempt);
    }

    private void book(Attempt attempt, CostKind kind, double millis) {
        String pipeline = attempt.running.request.kind().pipeline().name();
        Usage usage = new Usage(0, 0, Math.round(millis));
        policy.costTotals()
                .add(
                        pipeline,
                        attempt.stage.key().stage(),
                        attempt.running.request.workspace(),
                        kind,
                        usage);
        world.tally.cost(attempt.running.request, kind, millis);
    }
}
