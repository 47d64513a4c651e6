package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
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
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.observing.ServingTelemetry;
import org.bronzewheel.peering.HeartbeatService;
import org.bronzewheel.peering.ProgressExchange;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.permits.Permits;
import org.bronzewheel.quarantine.PromptQuarantine;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.stages.SharedStages;
import org.bronzewheel.stages.StageCallListener;
import org.bronzewheel.stages.StageDependencies;
import org.bronzewheel.stages.StageItem;
import org.bronzewheel.stages.StageItemOutcome;
import org.bronzewheel.stages.StagePort;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs requests in which several stages need the results of one, in virtual time, with owners of
 * the stages on several routers. Guards against results that are freed while another stage waits
 * for an upstream that will read them.
 */
class SharedInputsTest implements StagePort {
    private static final Map<String, Double> CALL_MILLIS =
            Map.of("root", 40.0, "quick", 100.0, "queued", 240.0);
    private static final List<StageStep> FAN_OUT =
            List.of(
                    new StageStep("root", List.of(), 100),
                    new StageStep("quick", List.of(0), 100),
                    new StageStep("queued", List.of(0), 100));
    private static final int REQUESTS = 4;

    private final StallingScheduler scheduler = new StallingScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final Set<String> results = new HashSet<>();
    private final List<Caller> callers = new ArrayList<>();
    private final List<SharedStages> stages = new ArrayList<>();
    private int handles;
    private int inputsGone;

    /** What one caller receives. */
    private static final class Caller implements CallerExchange {
        private boolean finished;

        @Override
        public void begin(int status, List<Header> headers, boolean streaming) {}

        @Override
        public void write(byte[] bytes) {}

        @Override
        public long unsentBytes() {
            return 0;
        }

        @Override
        public void finish() {
            finished = true;
        }

        @Override
        public void abort() {}

        @Override
        public void refuse(Refusal refusal) {}
    }

    @Override
    public Disposable run(UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
        List<StageItemOutcome> outcomes = items.stream().map(this::outcome).toList();
        long callMillis = CALL_MILLIS.get(target.service()).longValue();
        return loop.after(callMillis, () -> listener.onOutcomes(outcomes));
    }

    private StageItemOutcome outcome(StageItem item) {
        if (!results.containsAll(item.inputs())) {
            inputsGone++;
            return new StageItemOutcome(StageItemOutcome.Kind.INPUT_GONE, "");
        }
        String handle = "h" + ++handles;
        results.add(handle);
        return new StageItemOutcome(StageItemOutcome.Kind.MADE, handle);
    }

    @Override
    public void free(UpstreamEntry target, List<String> freed) {
        results.removeAll(freed);
    }

    private static Catalog catalog(List<StageStep> steps) {
        List<ServiceEntry> services = new ArrayList<>();
        services.add(new ServiceEntry("s", 99, Optional.empty(), Optional.empty()));
        CALL_MILLIS.forEach(
                (service, callMillis) ->
                        services.add(
                                new ServiceEntry(
                                        service,
                                        99,
                                        Optional.of(
                                                new StagePool(
                                                        1, 2, 2, callMillis, 1, 10_000, 4_000)),
                                        Optional.empty())));
        return new Catalog(
                1,
                List.of(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1, steps)),
                services,
                CallerAccess.withKeys(
                        List.of(new WorkspaceEntry("w", List.of("key"), OptionalInt.empty()))),
                new CallerLimits(1, 1, 1, 1));
    }

    private ServingEngine router(int index, List<StageStep> steps) {
        String vmId = "vm-" + index;
        PeerTransport transport = peers.add(vmId);
        SeedMembership membership =
                new SeedMembership(
                        vmId,
                        1,
                        List.of("vm-0", "vm-1"),
                        3,
                        new SplittableRandom(index),
                        loop.nowMillis());
        UpstreamTable upstreams = new UpstreamTable(2_000);
        List<UpstreamEntry> entries = new ArrayList<>();
        entries.add(new UpstreamEntry("s", "s", "10.0.0.1:80", "d", 8, 0, false));
        CALL_MILLIS
                .keySet()
                .forEach(
                        service ->
                                entries.add(
                                        new UpstreamEntry(
                                                service,
                                                service,
                                                "10.0.0.2:80",
                                                "d",
                                                1,
                                                0,
                                                false)));
        upstreams.replaceAll(entries, 0);
        CatalogState catalog = new CatalogState(60_000);
        catalog.applyIfNewer(catalog(steps));
        catalog.confirm(1, loop.now());
        SharedRetryBudget budget = new SharedRetryBudget(0, 100, 10_000, 1);
        SharedStages shared =
                new StageDependencies(
                                catalog,
                                upstreams,
                                Permits.UNLIMITED,
                                this,
                                transport,
                                membership,
                                budget,
                                loop)
                        .build();
        stages.add(shared);
        new HeartbeatService(
                        transport,
                        membership,
                        loop,
                        shared::ownBacklogs,
                        shared::submitters,
                        shared::receiveBacklog,
                        upstreams.announcements(),
                        ProgressExchange.NONE)
                .start();
        return new ServingEngine(
                new ServingContext(
                        catalog,
                        upstreams,
                        this::answer,
                        Permits.UNLIMITED,
                        shared,
                        budget,
                        new EngineSelector(),
                        new PromptQuarantine(),
                        "d",
                        loop,
                        new SplittableRandom(1),
                        new ServingTelemetry(loop)),
                new ResponseMemory(1 << 20));
    }

    private Disposable answer(UpstreamCall call, UpstreamListener listener) {
        boolean whole = results.containsAll(call.inputs());
        return loop.after(
                20,
                () -> {
                    listener.onHead(
                            new UpstreamHead(
                                    whole ? 200 : 409, List.of(), whole, !whole, false, false));
                    if (whole) {
                        listener.onEnd();
                    }
                });
    }

    private void run(int routers, List<StageStep> steps, List<Integer> pieces) {
        List<ServingEngine> engines = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            engines.add(router(i, steps));
        }
        loop.every(100, () -> stages.forEach(SharedStages::tick));
        scheduler.advance(2_000);
        // A new owner retains inputs for longer during its first calls.
        send(engines.get(0), "first", pieces);
        scheduler.advance(2_000);
        for (int i = 1; i < REQUESTS; i++) {
            send(engines.get(0), "id" + i, pieces);
        }
        scheduler.advance(3_500);
    }

    private void send(ServingEngine engine, String id, List<Integer> pieces) {
        Caller caller = new Caller();
        callers.add(caller);
        engine.run(
                new CallerRequest(
                        id,
                        "POST",
                        "/r/x",
                        "h",
                        "/r/x",
                        List.of(),
                        new byte[0],
                        Optional.of(3_000L),
                        Optional.of("key"),
                        Optional.empty(),
                        0,
                        0,
                        List.of(),
                        pieces,
                        Optional.of("k")),
                caller);
    }

    private long served() {
        return callers.stream().filter(caller -> caller.finished).count();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void aResultIsKeptUntilAllStagesThatNeedItHaveReadIt(int routers) {
        run(routers, FAN_OUT, List.of(1, 1, 2));
        assertThat(inputsGone).isEqualTo(0);
        assertThat(served()).isEqualTo(REQUESTS);
    }

    @Test
    void resultsThatSeveralStagesNeedAreFreedInTheEnd() {
        run(3, FAN_OUT, List.of(1, 1, 2));
        // The upstream reads the results of the last stages; all others are freed before.
        scheduler.advance(1_000);
        assertThat(results).isEmpty();
    }

    @Test
    void aResultWithOneConsumerIsStillFreedWhileItsConsumerRuns() {
        List<StageStep> chain =
                List.of(
                        new StageStep("root", List.of(), 100),
                        new StageStep("queued", List.of(0), 100));
        run(3, chain, List.of(1, 2));
        assertThat(inputsGone).isEqualTo(0);
        assertThat(served()).isEqualTo(REQUESTS);
    }
}
