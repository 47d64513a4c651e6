package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.RepeatRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.stages.StageFailure;
import org.bronzewheel.stages.StageJob;
import org.bronzewheel.stages.StageListener;
import org.bronzewheel.stages.StageResult;
import org.bronzewheel.upstreams.Prompt;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamChoice;
import org.bronzewheel.upstreams.UpstreamHealth;

/** One request on its way: its stages first, then its sends, one at a time, until one answer. */
final class RequestRun implements RunningRequest {
    private static final long DEFAULT_PATIENCE_MILLIS = 30_000;
    private static final long LEAST_SEND_MILLIS = 5;
    private static final long STAGE_MILLIS = 330;
    private static final long ENGINE_MILLIS = 160;
    private static final double LONGEST_WAIT_SHARE = 0.6;
    private static final int MOST_STAGE_ROUNDS = 2;
    private static final int MOST_REJECTIONS = 4;
    private static final long REJECTION_PAUSE_MILLIS = 40;
    private static final long RETRY_AFTER_MILLIS = 250;
    private static final int JITTER_MILLIS = 400;
    private static final int LEAST_CONNECTIONS = 2;
    private static final int CONFLICT = 409;

    private final ServingParts parts;
    private final Loop loop;
    private final CallerRequest request;
    private final ServiceRoute route;
    private final Optional<WorkspaceEntry> workspace;
    private final CallerExchange exchange;
    private final long arrivedMillis;
    private final Consumer<RequestRun> onEnd;
    private final long deadlineAtMillis;
    private final double servicePoint;
    private final RequestRelay relay;
    private final Set<String> tried = new HashSet<>();
    private StageProgress stages;
    private int stageRounds;
    private int runs;
    private int rejections;
    private String intendedFailureDomain = "";
    private boolean mayHaveRun;
    private boolean resultsFreed;
    private boolean ended;
    private RequestSend send;
    private Disposable timeout = Disposable.disposed();
    private Disposable pause = Disposable.disposed();

    RequestRun(
            ServingParts parts,
            CallerRequest request,
            ServiceRoute route,
            Optional<WorkspaceEntry> workspace,
            CallerExchange exchange,
            long arrivedMillis,
            Consumer<RequestRun> onEnd) {
        this.parts = parts;
        this.loop = parts.loop();
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.exchange = exchange;
        this.arrivedMillis = arrivedMillis;
        this.onEnd = onEnd;
        this.servicePoint = parts.random().nextDouble();
        long patience = request.patienceMillis().orElse(DEFAULT_PATIENCE_MILLIS);
        if (route.timeoutMillis() > 0) {
            patience = Math.min(patience, route.timeoutMillis());
        }
        this.deadlineAtMillis = arrivedMillis + patience;
        this.stages = new StageProgress(route, request.pieces());
        this.relay = new RequestRelay(request, route, exchange);
    }

    void start() {
        parts.observer()
                .decided(
                        request.id(),
                        Decision.ADMITTED,
                        "route=%s rank=%d expectedMillis=%d patienceMillis=%d prompt=%s"
                                .formatted(
                                        route.name(),
                                        rank(),
                                        expectedMillis(),
                                        deadlineAtMillis - arrivedMillis,
                                        request.promptParts()));
        parts.budget().request(service(), arrivedMillis);
        if (expectedMillis() > LONGEST_WAIT_SHARE * (deadlineAtMillis - arrivedMillis)) {
            refuse("the queues are too long for the deadline");
            return;
        }
        timeout = loop.after(deadlineAtMillis - arrivedMillis, this::timedOut);
        intendedFailureDomain =
                choose(service(), arrivedMillis)
                        .map(engine -> engine.entry().failureDomain())
                        .orElse(parts.failureDomain());
        beginStages();
    }

    /** Returns the expected time until the request can be sent, by the queues of its stages. */
    private long expectedMillis() {
        long millis = 0;
        for (String stageService : stages.longestWay()) {
            millis += parts.stages().expectedWaitMillis(stageService, rank()) + STAGE_MILLIS;
        }
        return millis;
    }

    CallerRequest request() {
        return request;
    }

    ServiceRoute route() {
        return route;
    }

    RequestRelay relay() {
        return relay;
    }

    ServingParts parts() {
        return parts;
    }

    private String service() {
        return current().orElse(route).serviceAt(servicePoint);
    }

    /** Returns the route as the newest catalog has it, where it still has it. */
    private Optional<ServiceRoute> current() {
        return parts.catalog()
                .current()
                .flatMap(catalog -> catalog.route(request.host(), request.path()))
                .filter(newer -> newer.name().equals(route.name()));
    }

    private int rank() {
        return route.priority();
    }

    private void beginStages() {
        for (int stage : stages.begin()) {
            submit(stage);
        }
        if (stages.isWhole()) {
            dispatch();
        }
    }

    private void submit(int stage) {
        StageStep step = route.stages().get(stage);
        long later = ENGINE_MILLIS + STAGE_MILLIS * stages.stagesAfter(stage);
        StageJob job =
                new StageJob(
                        request.id(),
                        stage,
                        step.service(),
                        stages.piecesOf(stage),
                        step.after().isEmpty() ? request.pieceKey() : Optional.empty(),
                        stages.inputsOf(stage),
                        step.resultBytes(),
                        rank(),
                        arrivedMillis + route.objectiveMillis(),
                        deadlineAtMillis,
                        later,
                        stages.inputFailureDomain(stage).orElse(intendedFailureDomain));
        parts.observer()
                .decided(
                        request.id(),
                        Decision.STAGE,
                        "stage=" + stage + " pieces=" + job.pieces() + " round=" + stageRounds);
        parts.stages().submit(job, new StageWait(stage, stages));
    }

    private void restartStages(String reason) {
        stageRounds++;
        releaseResults();
        if (stageRounds >= MOST_STAGE_ROUNDS) {
            refuse(reason);
            return;
        }
        stages = new StageProgress(route, request.pieces());
        beginStages();
    }

    private void releaseResults() {
        parts.stages().release(stages.takeResults());
    }

    /** The wait for one stage of one round. */
    private final class StageWait implements StageListener {
        private final int stage;
        private final StageProgress round;

        StageWait(int stage, StageProgress round) {
            this.stage = stage;
            this.round = round;
        }

        @Override
        public void onResults(List<StageResult> results) {
            if (ended || round != stages) {
                parts.stages().release(results);
                return;
            }
            stages.done(stage, results);
            parts.stages().release(stages.takeUsedResults());
            beginStages();
        }

        @Override
        public void onFailure(StageFailure failure) {
            if (ended || round != stages) {
                return;
            }
            parts.observer()
                    .decided(
                            request.id(),
                            Decision.STAGE_FAILED,
                            "stage=" + stage + " failure=" + failure);
            if (failure == StageFailure.INPUT_GONE) {
                restartStages("a result of a stage is gone");
            } else {
                refuse("stage " + stage + " failed: " + failure);
            }
        }
    }

    private void dispatch() {
        long nowMillis = loop.nowMillis();
        if (ended) {
            return;
        }
        if (deadlineAtMillis - nowMillis < LEAST_SEND_MILLIS) {
            timedOut();
            return;
        }
        if (!isStillAllowed()) {
            refuse("the key may no longer be honoured");
            return;
        }
        String service = service();
        Optional<Upstream> upstream = choose(service, nowMillis);
        if (upstream.isEmpty()) {
            noUpstream(service);
            return;
        }
        send(service, upstream.get(), nowMillis);
    }

    private boolean isStillAllowed() {
        Optional<Catalog> catalog = parts.catalog().current();
        if (workspace.isEmpty() || catalog.isEmpty()) {
            return true;
        }
        return parts.catalog().honoursKeys(loop.now())
                && request.key().flatMap(catalog.get()::workspace).isPresent();
    }

    private Optional<Upstream> choose(String service, long nowMillis) {
        int share = connectionShare(service);
        List<Upstream> candidates =
                parts.upstreams().serving(service).stream()
                        .filter(upstream -> upstream.openCalls() < share)
                        .toList();
        if (!isEngine(service)) {
            return UpstreamChoice.plain(candidates, tried, parts.failureDomain(), nowMillis);
        }
        return parts.engines()
                .choose(candidates, tried, prompt(), parts.failureDomain(), nowMillis);
    }

    /** Returns the connections to one upstream that this router may have, as all share its cap. */
    private int connectionShare(String service) {
        return parts.catalog()
                .current()
                .flatMap(catalog -> catalog.service(service))
                .filter(entry -> entry.maxConnections() > 0)
                .map(entry -> entry.maxConnections() / parts.budget().routers())
                .map(share -> Math.max(LEAST_CONNECTIONS, share))
                .orElse(Integer.MAX_VALUE);
    }

    private Prompt prompt() {
        return new Prompt(
                request.promptTokens(), request.promptParts(), stages.outputBytesByFailureDomain());
    }

    private boolean isEngine(String service) {
        return parts.catalog()
                .current()
                .flatMap(catalog -> catalog.service(service))
                .flatMap(ServiceEntry::enginePool)
                .isPresent();
    }

    private void send(String service, Upstream upstream, long nowMillis) {
        boolean engine = isEngine(service);
        UpstreamCall call =
                new UpstreamCall(
                        upstream.entry(),
                        request,
                        deadlineAtMillis - nowMillis,
                        workspace.map(WorkspaceEntry::name),
                        engine ? Optional.of(Math.min(9, 1 + 2 * rank())) : Optional.empty(),
                        stages.outputs().stream().map(StageResult::handle).toList(),
                        relay.resumePoint(),
                        route.repeatRule() == RepeatRule.IDEMPOTENT);
        parts.observer()
                .decided(
                        request.id(),
                        Decision.SENT,
                        "service=" + service + " upstream=" + upstream.entry().id());
        tried.add(upstream.entry().id());
        runs++;
        send = new RequestSend(this, service, upstream, engine);
        send.start(call);
    }

    private void noUpstream(String service) {
        if (relay.hasBegun()) {
            endBroken("no upstream can go on with the stream");
        } else if (mayHaveRun) {
            fail(Refusal.BAD_GATEWAY, "the upstream failed and no other can take the request");
        } else {
            refuse("no upstream of " + service + " can take the request");
        }
    }

    /** The upstream has read its inputs. */
    void inputsRead() {
        resultsFreed = !stages.outputs().isEmpty() || resultsFreed;
        releaseResults();
    }

    /** The request did not run at this upstream. */
    void rejected(int status) {
        runs--;
        rejections++;
        if (status == CONFLICT && !route.stages().isEmpty() && !relay.hasBegun()) {
            tried.clear();
            restartStages("a result of a stage is gone");
            return;
        }
        if (rejections > MOST_REJECTIONS || !mayRepeat()) {
            giveUp("the upstreams reject the request");
            return;
        }
        parts.observer().decided(request.id(), Decision.REPEATED, "rejected with status=" + status);
        pause = loop.after(rejections > 1 ? REJECTION_PAUSE_MILLIS : 0, this::dispatch);
    }

    /** The send failed, and the request may have run; tells whether it goes on elsewhere. */
    boolean failed(String reason) {
        mayHaveRun = true;
        boolean repeatable =
                route.repeatRule() == RepeatRule.IDEMPOTENT
                        || route.repeatRule() == RepeatRule.RESUMABLE;
        if (!repeatable || runs >= route.maxAttempts() || !mayRepeat()) {
            return false;
        }
        parts.observer()
                .decided(
                        request.id(),
                        relay.hasBegun() ? Decision.RESUMED : Decision.REPEATED,
                        reason);
        if (resultsFreed) {
            // The first run had read the results, and another one needs them anew.
            resultsFreed = false;
            stages = new StageProgress(route, request.pieces());
            loop.execute(this::beginStages);
        } else {
            loop.execute(this::dispatch);
        }
        return true;
    }

    private boolean mayRepeat() {
        return parts.budget().tryRepeat(service(), loop.nowMillis());
    }

    void giveUp(String reason) {
        if (relay.hasBegun()) {
            endBroken(reason);
        } else if (mayHaveRun) {
            fail(Refusal.BAD_GATEWAY, reason);
        } else {
            refuse(reason);
        }
    }

    void health(Upstream upstream, String service, boolean broken) {
        UpstreamHealth.failed(
                upstream, parts.upstreams().serving(service), broken, loop.nowMillis());
    }

    void answered(int status) {
        end(RequestEnd.ANSWERED, "status " + status);
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        if (relay.hasBegun()) {
            endBroken("time is up");
        } else if (mayHaveRun || send != null) {
            fail(Refusal.GATEWAY_TIMEOUT, "no answer in time");
        } else {
            refuse("the time did not suffice");
        }
    }

    private void refuse(String reason) {
        long after = RETRY_AFTER_MILLIS + parts.random().nextInt(JITTER_MILLIS);
        if (end(RequestEnd.REFUSED, reason)) {
            exchange.refuse(Refusal.notRun(reason, after));
        }
    }

    private void fail(int status, String reason) {
        if (end(RequestEnd.FAILED, status + " " + reason)) {
            exchange.refuse(Refusal.of(status, reason));
        }
    }

    private void endBroken(String reason) {
        if (end(RequestEnd.BROKEN_OFF, reason)) {
            exchange.abort();
        }
    }

    @Override
    public void callerLeft() {
        end(RequestEnd.CANCELLED, "the caller left");
    }

    private boolean end(RequestEnd end, String detail) {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.dispose();
        pause.dispose();
        if (send != null) {
            send.cancel();
        }
        if (!resultsFreed && !stages.isWhole()) {
            route.stages().stream()
                    .map(StageStep::service)
                    .distinct()
                    .forEach(service -> parts.stages().cancel(service, request.id()));
        }
        releaseResults();
        onEnd.accept(this);
        parts.observer()
                .ended(request.id(), route.name(), end, detail, loop.nowMillis() - arrivedMillis);
        return true;
    }

    void sendEnded() {
        send = null;
    }
}
