package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.RepeatRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.upstreams.OutlierDetector;
import org.bronzewheel.upstreams.Upstream;

/** One request on its way: its stages first, then its sends, one at a time, until one answer. */
final class RequestRun implements RunningRequest {
    private static final long DEFAULT_PATIENCE_MILLIS = 30_000;
    private static final long LEAST_SEND_MILLIS = 5;
    private static final double LONGEST_WAIT_SHARE = 0.6;
    private static final double LONGEST_PERMIT_WAIT_SHARE = 0.5;
    private static final double LONGEST_LATE_WAIT_SHARE = 0.3;
    private static final double LONGEST_ENTRY_WAIT_SHARE = 0.12;
    private static final int MOST_PERMIT_WAITS = 3;
    private static final int MOST_REJECTIONS = 4;
    private static final long REJECTION_PAUSE_MILLIS = 40;
    private static final int CONFLICT = 409;

    /** The time that a refusal takes to reach its caller. */
    private static final long REFUSAL_MILLIS = 150;

    /** In place of a status: no byte was handed to a connection. */
    static final int NOT_SENT = 0;

    private final ServingContext parts;
    private final FirstEventWaits engineWaits;
    private final Loop loop;
    private final CallerRequest request;
    private final ServiceRoute route;
    private final Optional<WorkspaceEntry> workspace;
    private final CallerExchange exchange;
    private final long arrivedMillis;
    private final Consumer<RequestRun> onEnd;
    private final long deadlineAtMillis;
    private final long firstAnswerAtMillis;
    private final double servicePoint;
    private final RequestRelay relay;
    private final RequestStages stages;
    private final RequestTargets targets;
    private int runs;
    private int rejections;
    private boolean mayHaveRun;
    private boolean ended;
    private RequestSend send;
    private Disposable timeout = Disposable.disposed();
    private Disposable firstAnswerTimeout = Disposable.disposed();
    private Disposable pause = Disposable.disposed();
    private Disposable permit = Disposable.disposed();
    private long permitRetryMillis;
    private int permitWaits;

    RequestRun(
            ServingContext parts,
            FirstEventWaits engineWaits,
            CallerRequest request,
            ServiceRoute route,
            Optional<WorkspaceEntry> workspace,
            CallerExchange exchange,
            long arrivedMillis,
            Consumer<RequestRun> onEnd) {
        this.parts = parts;
        this.engineWaits = engineWaits;
        this.loop = parts.loop();
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.exchange = exchange;
        this.arrivedMillis = arrivedMillis;
        this.onEnd = onEnd;
        this.servicePoint = parts.random().nextDouble();
        long patience = request.timeoutMillis().orElse(DEFAULT_PATIENCE_MILLIS);
        if (route.timeoutMillis() > 0) {
            patience = Math.min(patience, route.timeoutMillis());
        }
        this.deadlineAtMillis = arrivedMillis + patience;
        this.firstAnswerAtMillis = arrivedMillis + route.firstAnswerMillis(patience);
        this.stages =
                new RequestStages(
                        parts,
                        request,
                        route,
                        arrivedMillis,
                        firstAnswerAtMillis,
                        this::dispatch,
                        this::giveUp);
        this.targets = new RequestTargets(parts);
        this.relay = new RequestRelay(request, route, exchange);
    }

    void start() {
        long expectedMillis = expectedMillis();
        parts.observer()
                .decided(
                        request.id(),
                        Decision.ADMITTED,
                        ("route=%s rank=%d workspaceRank=%s expectedMillis=%d objectiveMillis=%d"
                                        + " patienceMillis=%d waits=%s prompt=%s")
                                .formatted(
                                        route.name(),
                                        rank(),
                                        describeWorkspaceRank(),
                                        expectedMillis,
                                        route.objectiveMillis(),
                                        firstAnswerAtMillis - arrivedMillis,
                                        stages.describeWaits(),
                                        request.promptParts()));
        parts.budget().recordRequest(service(), 1, arrivedMillis);
        if (expectedMillis > LONGEST_WAIT_SHARE * (firstAnswerAtMillis - arrivedMillis)) {
            refuse("the queues are too long for the deadline");
            return;
        }
        if (!targets.opensWithin(service(), stages.expectedMillis())) {
            refuse("no upstream takes requests in time");
            return;
        }
        timeout = loop.after(deadlineAtMillis - arrivedMillis, this::timedOut);
        if (firstAnswerAtMillis < deadlineAtMillis) {
            firstAnswerTimeout =
                    loop.after(
                            firstAnswerAtMillis - arrivedMillis - REFUSAL_MILLIS,
                            this::firstAnswerTimedOut);
        }
        enter();
    }

    /**
     * Begins the stages. Where all upstreams that are to follow limit what they take, that needs a
     * permit, or most of the stages' work would be for requests that end without one.
     */
    private void enter() {
        if (route.stages().isEmpty() || !parts.permits().isNeeded(PermitKind.ENTRY, service())) {
            beginStages();
            return;
        }
        permit =
                parts.permits()
                        .acquire(
                                PermitKind.ENTRY,
                                service(),
                                rank(),
                                Math.round(LONGEST_ENTRY_WAIT_SHARE * route.objectiveMillis()),
                                this::entryDecided);
    }

    private void entryDecided(PermitDecision decision) {
        permitRetryMillis = decision.retryAfterMillis();
        if (decision.granted()) {
            beginStages();
        } else {
            refuse("the upstreams take no more requests");
        }
    }

    private void beginStages() {
        if (!ended) {
            stages.begin(
                    choose(service(), loop.nowMillis())
                            .map(engine -> engine.entry().failureDomain())
                            .orElse(parts.failureDomain()));
        }
    }

    /**
     * Returns the expected time until an engine begins with the request, or its stages are done.
     */
    private long expectedMillis() {
        return stages.expectedMillis()
                + engineWaits.expectedMillis(service(), rank(), loop.nowMillis());
    }

    FirstEventWaits engineWaits() {
        return engineWaits;
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

    ServingContext parts() {
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

    private String describeWorkspaceRank() {
        return workspace
                .map(WorkspaceEntry::priority)
                .filter(OptionalInt::isPresent)
                .map(priority -> Integer.toString(priority.getAsInt()))
                .orElse("none");
    }

    private void dispatch() {
        long nowMillis = loop.nowMillis();
        if (!maySend(nowMillis)) {
            return;
        }
        String service = service();
        Optional<Upstream> upstream =
                choose(service, nowMillis).or(() -> opensInTime(service, nowMillis));
        if (upstream.isEmpty()) {
            giveUp("no upstream of " + service + " can take the request");
        } else if (targets.needsPermit(upstream.get())) {
            takePermit(service, upstream.get(), nowMillis);
        } else {
            send(service, upstream.get(), nowMillis);
        }
    }

    /** Tells whether the request may still be sent; otherwise it has ended. */
    private boolean maySend(long nowMillis) {
        if (ended) {
            return false;
        }
        if (deadlineAtMillis - nowMillis < LEAST_SEND_MILLIS) {
            timedOut();
            return false;
        }
        if (!isStillAllowed()) {
            giveUp("the key may no longer be honoured");
            return false;
        }
        return true;
    }

    private void takePermit(String service, Upstream upstream, long nowMillis) {
        long patienceMillis = permitPatienceMillis(service, nowMillis);
        permitWaits += patienceMillis > 0 ? 1 : 0;
        permit =
                parts.permits()
                        .acquire(
                                PermitKind.SEND,
                                upstream.entry().id(),
                                rank(),
                                patienceMillis,
                                decision -> permitDecided(service, upstream, decision));
    }

    private Optional<Upstream> opensInTime(String service, long nowMillis) {
        return permitWaits < MOST_PERMIT_WAITS
                ? targets.firstToOpen(service, permitPatienceMillis(service, nowMillis))
                : Optional.empty();
    }

    /**
     * Returns how long the request may wait for a permit: not at all where another upstream can
     * take it, longer once its stages are done, as their work would be lost.
     */
    private long permitPatienceMillis(String service, long nowMillis) {
        if (targets.open(service).size() > 1) {
            return 0;
        }
        long objectiveLeftMillis = arrivedMillis + route.objectiveMillis() - nowMillis;
        long callerLeftMillis = route.stages().isEmpty() ? 0 : firstAnswerAtMillis - nowMillis;
        double millis =
                Math.max(
                        LONGEST_PERMIT_WAIT_SHARE * objectiveLeftMillis,
                        LONGEST_LATE_WAIT_SHARE * callerLeftMillis);
        return Math.max(0, Math.round(millis));
    }

    private void permitDecided(String service, Upstream upstream, PermitDecision decision) {
        permitRetryMillis = decision.retryAfterMillis();
        long nowMillis = loop.nowMillis();
        boolean open =
                parts.upstreams().serving(service).contains(upstream)
                        && upstream.blockedMillis(nowMillis) == 0;
        if (!decision.granted() || !open || !service.equals(service())) {
            dispatch();
        } else if (maySend(nowMillis)) {
            send(service, upstream, nowMillis);
        }
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
        return targets.choose(service, stages.prompt(), nowMillis);
    }

    private void send(String service, Upstream upstream, long nowMillis) {
        boolean engine = targets.isEngine(service);
        UpstreamCall call =
                new UpstreamCall(
                        upstream.entry(),
                        request,
                        deadlineAtMillis - nowMillis,
                        workspace.map(WorkspaceEntry::name),
                        engine ? Optional.of(Math.min(9, 1 + 2 * rank())) : Optional.empty(),
                        stages.handles(),
                        relay.resumePoint(),
                        route.repeatRule() != RepeatRule.AT_MOST_ONCE,
                        targets.connectionShare(service));
        parts.observer()
                .decided(
                        request.id(),
                        Decision.SENT,
                        "service=%s upstream=%s %s"
                                .formatted(
                                        service,
                                        upstream.entry().id(),
                                        parts.upstreams()
                                                .announcements()
                                                .describe(upstream.entry().id(), nowMillis)));
        targets.tried(upstream);
        runs++;
        send = new RequestSend(this, service, upstream, engine);
        send.start(call);
    }

    /** The upstream has read its inputs. */
    void inputsRead() {
        stages.inputsRead();
    }

    /** The request did not run at this upstream. */
    void rejected(int status) {
        runs--;
        rejections++;
        if (status == CONFLICT && !route.stages().isEmpty() && !relay.hasBegun()) {
            targets.forgetTried();
            stages.resultGone();
            return;
        }
        // What was not sent draws on no budget, as nothing arrived anywhere.
        if (rejections > MOST_REJECTIONS || (status != NOT_SENT && !mayRepeat())) {
            giveUp("the upstreams reject the request");
            return;
        }
        parts.observer().decided(request.id(), Decision.REPEATED, "rejected with status=" + status);
        pause = loop.after(rejections > 1 ? REJECTION_PAUSE_MILLIS : 0, this::dispatch);
    }

    /** Tells whether a send that is given up would be followed by another one. */
    boolean mayGoElsewhere() {
        return route.repeatRule() != RepeatRule.AT_MOST_ONCE
                && runs < route.maxAttempts()
                && parts.budget().canRetry(service(), loop.nowMillis())
                && targets.isOneFree(service());
    }

    /** The send failed, and the request may have run; tells whether it goes on elsewhere. */
    boolean failed(String reason) {
        mayHaveRun = true;
        boolean repeatable = route.repeatRule() != RepeatRule.AT_MOST_ONCE;
        if (!repeatable || runs >= route.maxAttempts() || !mayRepeat()) {
            return false;
        }
        parts.observer()
                .decided(
                        request.id(),
                        relay.hasBegun() ? Decision.RESUMED : Decision.REPEATED,
                        reason);
        loop.execute(this::goOn);
        return true;
    }

    /** Sends the request again, after its stages where a run that failed has used their results. */
    private void goOn() {
        if (ended) {
            return;
        }
        if (stages.areRead()) {
            stages.again();
        } else {
            dispatch();
        }
    }

    private boolean mayRepeat() {
        return parts.budget().tryRetry(service(), loop.nowMillis());
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
        OutlierDetector.recordFailure(
                upstream, parts.upstreams().serving(service), broken, loop.nowMillis());
    }

    void answered(int status) {
        end(RequestOutcome.ANSWERED, "status " + status);
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

    /** Refuses a request that nothing was sent of, while its caller is still there. */
    private void firstAnswerTimedOut() {
        if (!ended && !relay.hasBegun() && !mayHaveRun && send == null) {
            refuse("the caller waits no longer for a first event");
        }
    }

    private void refuse(String reason) {
        long leftMillis = deadlineAtMillis - loop.nowMillis();
        RequestTargets.Opening opening = targets.opening(service());
        long excessMillis =
                Math.max(
                        Math.max(permitRetryMillis, opening.firstMillis()),
                        expectedMillis()
                                - Math.round(
                                        LONGEST_WAIT_SHARE * route.firstAnswerMillis(leftMillis)));
        long after =
                ReturnTime.afterMillis(
                        excessMillis,
                        opening.lastMillis() - opening.firstMillis(),
                        leftMillis,
                        rank(),
                        parts.random().nextDouble());
        if (end(RequestOutcome.REFUSED, reason)) {
            exchange.refuse(Refusal.notRun(reason, after));
        }
    }

    private void fail(int status, String reason) {
        if (end(RequestOutcome.FAILED, status + " " + reason)) {
            exchange.refuse(Refusal.of(status, reason));
        }
    }

    /** Ends the request after an error of this router; it may have run. */
    void failUnexpectedly() {
        mayHaveRun = true;
        giveUp("an unexpected error");
    }

    private void endBroken(String reason) {
        if (end(RequestOutcome.BROKEN_OFF, reason)) {
            exchange.abort();
        }
    }

    @Override
    public void callerDisconnected() {
        end(RequestOutcome.CANCELLED, "the caller left");
    }

    private boolean end(RequestOutcome end, String detail) {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.dispose();
        firstAnswerTimeout.dispose();
        pause.dispose();
        permit.dispose();
        if (send != null) {
            send.cancel();
        }
        stages.end();
        onEnd.accept(this);
        parts.observer()
                .ended(request.id(), route.name(), end, detail, loop.nowMillis() - arrivedMillis);
        return true;
    }

    void sendEnded() {
        send = null;
    }
}
