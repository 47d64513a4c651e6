package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.EnginePool;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.permits.FakePermits;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.StageFailure;
import org.bronzewheel.stages.StageJob;
import org.bronzewheel.stages.StageListener;
import org.bronzewheel.stages.StageResult;
import org.bronzewheel.stages.StageService;
import org.bronzewheel.stages.StageWait;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/** A serving engine in virtual time, with simulated upstreams, stages and caller. */
final class ServingHarness implements StageService, CallerExchange, RequestObserver {
    static final long LEASE_MILLIS = 4_000;
    static final long RESPONSE_BYTES = 1 << 20;
    static final long CALL_MILLIS = 330;
    static final long CALLER_SILENCE_MILLIS = 2_400;

    final StallingScheduler scheduler = new StallingScheduler();
    final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    long expectedWaitMillis;

    /** What the owners of stages report; empty for {@link #expectedWaitMillis} and usual calls. */
    Optional<StageWait> wait = Optional.empty();

    final CatalogState catalog = new CatalogState(LEASE_MILLIS);
    final UpstreamTable upstreams = new UpstreamTable(2_000);
    final PromptQuarantine quarantine = new PromptQuarantine();
    final FakePermits permits = new FakePermits();
    final List<Sent> sends = new ArrayList<>();
    final List<Submitted> jobs = new ArrayList<>();
    final List<StageResult> released = new ArrayList<>();
    final Map<String, Integer> unmetPieces = new HashMap<>();
    final Set<Integer> unmetRanks = new HashSet<>();
    final Set<Integer> waitRanks = new HashSet<>();
    boolean failsAtEnd;
    final List<Refusal> refusals = new ArrayList<>();
    final StringBuilder body = new StringBuilder();
    final ServingEngine engine;
    int status;
    boolean failsNextSend;
    boolean finished;
    boolean aborted;
    RequestOutcome outcome;
    String outcomeDetail;
    final List<String> decisions = new ArrayList<>();
    Fault fault = Fault.EXCEPTION;
    boolean sendThrows;
    boolean submitThrows;
    boolean cancelThrows;
    RunningRequest running;

    /** What a failing dependency throws. */
    enum Fault {
        EXCEPTION,
        ERROR;

        void raise() {
            if (this == ERROR) {
                throw new StackOverflowError();
            }
            throw new IllegalStateException("unexpected");
        }
    }

    /** One attempt at an upstream. */
    static final class Sent {
        final UpstreamCall call;
        final UpstreamListener listener;
        boolean cancelled;

        Sent(UpstreamCall call, UpstreamListener listener) {
            this.call = call;
            this.listener = listener;
        }

        void head(int status) {
            listener.onHead(new UpstreamHead(status, List.of(), true, false, false, false));
        }

        void data(String text) {
            listener.onData(text.getBytes(StandardCharsets.UTF_8));
        }

        void answer(int status) {
            head(status);
            data("body");
            listener.onEnd();
        }
    }

    /** A submitted stage job. */
    record Submitted(StageJob job, StageListener listener) {
        void done() {
            List<StageResult> results = new ArrayList<>();
            for (int piece = 0; piece < job.pieces(); piece++) {
                results.add(
                        new StageResult(
                                job.service(),
                                job.stage() + "/" + piece,
                                "maker",
                                "d",
                                job.resultBytes()));
            }
            listener.onResults(results);
        }

        void fail(StageFailure failure) {
            listener.onFailure(failure);
        }
    }

    ServingHarness(SharedRetryBudget budget) {
        engine =
                new ServingEngine(
                        new ServingContext(
                                catalog,
                                upstreams,
                                this::send,
                                permits,
                                this,
                                budget,
                                new EngineSelector(),
                                quarantine,
                                "d",
                                loop,
                                new SplittableRandom(1),
                                this),
                        new ResponseMemory(RESPONSE_BYTES));
    }

    ServingHarness() {
        this(new SharedRetryBudget(0, 100, 10_000, 1));
    }

    private Disposable send(UpstreamCall call, UpstreamListener listener) {
        throwIf(sendThrows);
        if (failsNextSend) {
            failsNextSend = false;
            throw new IllegalArgumentException("unexpected");
        }
        Sent sent = new Sent(call, listener);
        sends.add(sent);
        return Disposable.fromRunnable(() -> sent.cancelled = true);
    }

    ServingHarness with(ServiceRoute route) {
        return with(1, route, List.of("key"));
    }

    ServingHarness with(long version, ServiceRoute route, List<String> keys) {
        WorkspaceEntry workspace = new WorkspaceEntry("w", keys, OptionalInt.empty());
        return with(version, route, CallerAccess.withKeys(List.of(workspace)));
    }

    ServingHarness withWorkspaces(ServiceRoute route, WorkspaceEntry... workspaces) {
        return with(1, route, CallerAccess.withKeys(List.of(workspaces)));
    }

    ServingHarness with(long version, ServiceRoute route, CallerAccess access) {
        catalog.applyIfNewer(
                new Catalog(
                        version,
                        List.of(route),
                        List.of(
                                new ServiceEntry(
                                        "s",
                                        9,
                                        Optional.empty(),
                                        route.streaming()
                                                ? Optional.of(new EnginePool(8, 1_000))
                                                : Optional.empty())),
                        access,
                        new CallerLimits(1, 1, 1, 1)));
        catalog.confirm(version, loop.now());
        if (!upstreams.isLoaded()) {
            upstreams.replaceAll(List.of(upstream("u1"), upstream("u2"), upstream("u3")), 0);
        }
        return this;
    }

    static UpstreamEntry upstream(String id) {
        return new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 8, 0, false);
    }

    static ServiceRoute route(RetryRule rule, boolean streaming, int attempts) {
        return route(rule, streaming, attempts, List.of());
    }

    static ServiceRoute route(
            RetryRule rule, boolean streaming, int attempts, List<StageStep> stages) {
        return new ServiceRoute(
                "r",
                "h",
                "/r/",
                streaming,
                rule,
                3_000,
                500,
                300,
                streaming ? CALLER_SILENCE_MILLIS : 0,
                0,
                attempts,
                List.of(new ServiceShare("s", 1)),
                stages,
                false);
    }

    ServingHarness request() {
        return request("key", List.of());
    }

    ServingHarness request(String key, List<Integer> pieces) {
        return request(key, pieces, Optional.of(5_000L));
    }

    ServingHarness request(String key, List<Integer> pieces, Optional<Long> timeoutMillis) {
        addStageUpstreams();
        running =
                engine.run(
                        new CallerRequest(
                                "id",
                                "POST",
                                "/r/x",
                                "h",
                                "/r/x",
                                List.of(),
                                new byte[0],
                                timeoutMillis,
                                Optional.of(key),
                                Optional.empty(),
                                100,
                                10,
                                List.of(new PromptPart("p", 50), new PromptPart("q", 50)),
                                pieces,
                                Optional.of("k")),
                        this);
        return this;
    }

    /** Lists an upstream for each stage service of which the test listed none. */
    private void addStageUpstreams() {
        catalog.current().stream()
                .flatMap(current -> current.routes().stream())
                .flatMap(route -> route.stages().stream())
                .map(StageStep::service)
                .filter(
                        service ->
                                upstreams.all().stream()
                                        .noneMatch(u -> u.entry().service().equals(service)))
                .distinct()
                .forEach(
                        service ->
                                upstreams.put(
                                        new UpstreamEntry(
                                                "stage-" + service,
                                                service,
                                                "10.0.0.2:80",
                                                "stages",
                                                1,
                                                0,
                                                false),
                                        loop.nowMillis()));
    }

    Sent lastSend() {
        scheduler.advance(0);
        return sends.get(sends.size() - 1);
    }

    /** Applies an announcement from a response of an upstream. */
    void announce(String upstreamId, Announcement announcement) {
        long nowMillis = loop.nowMillis();
        upstreams
                .announcements()
                .announced(upstream(upstreamId), announcement, nowMillis, nowMillis);
    }

    ServingHarness advance(long millis) {
        scheduler.advance(millis);
        return this;
    }

    /** Lets time pass without running the loop, after which overdue timers run first. */
    ServingHarness stall(long millis) {
        scheduler.stall(millis);
        return this;
    }

    int refusalStatus() {
        return refusals.isEmpty() ? 0 : refusals.get(0).status();
    }

    @Override
    public void submit(StageJob job, StageListener listener) {
        throwIf(submitThrows);
        jobs.add(new Submitted(job, listener));
    }

    @Override
    public void release(List<StageResult> results) {
        released.addAll(results);
    }

    @Override
    public void cancel(String service, String requestId) {
        throwIf(cancelThrows);
    }

    private void throwIf(boolean fails) {
        if (fails) {
            fault.raise();
        }
    }

    @Override
    public void reportUnmetDemand(String service, int rank, int pieces) {
        unmetPieces.merge(service, pieces, Integer::sum);
        unmetRanks.add(rank);
    }

    @Override
    public StageWait expectedWait(String service, int rank) {
        waitRanks.add(rank);
        return wait.orElse(new StageWait(expectedWaitMillis, CALL_MILLIS, 0));
    }

    @Override
    public void begin(int answered, List<Header> headers, boolean streaming) {
        status = answered;
    }

    @Override
    public void write(byte[] bytes) {
        body.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public long unsentBytes() {
        return 0;
    }

    @Override
    public void finish() {
        finished = true;
    }

    @Override
    public void abort() {
        aborted = true;
    }

    @Override
    public void refuse(Refusal refusal) {
        refusals.add(refusal);
    }

    @Override
    public void decided(String requestId, Decision decision, String detail) {
        decisions.add(decision + " " + detail);
    }

    @Override
    public void ended(
            String requestId,
            String route,
            RequestOutcome outcome,
            String detail,
            long elapsedMillis) {
        this.outcome = outcome;
        this.outcomeDetail = detail;
        throwIf(failsAtEnd);
    }
}
