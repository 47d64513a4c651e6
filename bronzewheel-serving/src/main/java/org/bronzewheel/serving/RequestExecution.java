package org.bronzewheel.serving;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Consumer;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.EffectiveRank;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.permits.PermitDecision;
import org.bronzewheel.permits.PermitKind;
import org.bronzewheel.quarantine.Quarantine;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.upstreams.OutlierDetector;
import org.bronzewheel.upstreams.Upstream;

/**
 * Executes one request: first its stages, then attempts at upstreams, one at a time, until one
 * responds.
 */
final class RequestExecution implements RunningRequest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long MIN_SEND_MILLIS = 5;
    private static final double MAX_PERMIT_WAIT_SHARE = 0.5;
    private static final double MAX_WAIT_AFTER_STAGES_SHARE = 0.3;
    private static final double MAX_ENTRY_WAIT_SHARE = 0.12;
    private static final int MAX_PERMIT_WAITS = 3;
    private static final int MAX_REJECTIONS = 4;
    private static final long REJECTION_BACKOFF_MILLIS = 40;

    /** The interval at which a request that lost a silent attempt looks for an upstream. */
    private static final long REPLACEMENT_BACKOFF_MILLIS = 200;

    private static final int CONFLICT = 409;
    private static final String STOPS_BEFORE_ANSWER = "this router stops before it could answer";

    /** The time reserved for a refusal to reach its caller. */
    private static final long REFUSAL_MARGIN_MILLIS = 150;

    /** Used in place of an HTTP status: no byte was written to a connection. */
    static final int NOT_SENT = 0;

    private final ServingContext context;
    private final ServingState shared;
    private final Loop loop;
    private final CallerRequest request;
    private final ServiceRoute route;
    private final Optional<WorkspaceEntry> workspace;
    private final EffectiveRank rank;
    private final CallerExchange exchange;
    private final long arrivedMillis;
    private final Consumer<RequestExecution> onEnd;
    private final long deadlineAtMillis;
    private final long firstAnswerDeadlineMillis;
    private final double serviceSplitPoint;
    private final ResponseRelay relay;
    private final RequestStages stages;
    private final RequestTargets targets;
    private final AttemptReplacement replacement;
    private int attempts;
    private int rejections;
    private boolean mayHaveRun;
    private boolean cancelledSilentAttempt;
    private boolean ended;
    private long lastEventMillis;
    private UpstreamAttempt attempt;
    private Disposable timeout = Disposable.disposed();
    private Disposable firstAnswerTimeout = Disposable.disposed();
    private Disposable backoff = Disposable.disposed();
    private Disposable permit = Disposable.disposed();
    private long permitRetryMillis;
    private int permitWaits;
    private int replacementWaits;

    RequestExecution(
            ServingContext context,
            ServingState shared,
            CallerRequest request,
            ServiceRoute route,
            Optional<WorkspaceEntry> workspace,
            EffectiveRank rank,
            CallerExchange exchange,
            long arrivedMillis,
            Consumer<RequestExecution> onEnd) {
        this.context = context;
        this.shared = shared;
        this.loop = context.loop();
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.rank = rank;
        this.exchange = exchange;
        this.arrivedMillis = arrivedMillis;
        this.onEnd = onEnd;
        this.serviceSplitPoint = context.random().nextDouble();
        long timeoutMillis = route.timeoutMillis(request.timeoutMillis());
        this.deadlineAtMillis = arrivedMillis + timeoutMillis;
        this.firstAnswerDeadlineMillis =
                arrivedMillis + route.firstResponseTimeoutMillis(timeoutMillis);
        this.stages =
                new RequestStages(
                        context,
                        request,
                        route,
                        rank.value(),
                        arrivedMillis,
                        firstAnswerDeadlineMillis,
                        () -> shared.answerTimes().leastMillis(route.name(), service()),
                        this::guard,
                        this::stagesDone,
                        this::stagesFailed);
        this.targets = new RequestTargets(context);
        this.replacement = new AttemptReplacement(this, stages);
        this.relay = new ResponseRelay(request, route, exchange);
    }

    void start() {
        guard(this::admit);
    }

    /** Runs a step; an error ends the request, which would be left unanswered otherwise. */
    void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("request %s failed unexpectedly", request.id());
            // The request may have run.
            mayHaveRun = true;
            endWithoutAnswer("an unexpected error");
        }
    }

    private Disposable after(long delayMillis, Runnable step) {
        return loop.after(delayMillis, () -> guard(step));
    }

    private void admit() {
        if (endIfQuarantined()) {
            return;
        }
        long expectedMillis = expectedMillis();
        context.observer()
                .decided(
                        request.id(),
                        Decision.ADMITTED,
                        ("route=%s rank=%d workspaceRank=%s expectedMillis=%d objectiveMillis=%d"
                                        + " patienceMillis=%d waits=%s prompt=%s")
                                .formatted(
                                        route.name(),
                                        rank(),
                                        workspace
                                                .map(WorkspaceEntry::describePriority)
                                                .orElse("none"),
                                        expectedMillis,
                                        route.objectiveMillis(),
                                        firstAnswerDeadlineMillis - arrivedMillis,
                                        stages.describeWaits(),
                                        request.promptParts()));
        context.budget().recordRequest(service(), 1, arrivedMillis);
        if (expectedMillis > maxExpectedMillis(firstAnswerDeadlineMillis - arrivedMillis)) {
            refuse("the queues are too long for the deadline");
            return;
        }
        if (!targets.canServe(route, service(), stages.leastQueuedMillis())) {
            refuse("no upstream takes requests in time");
            return;
        }
        if (!shared.stopPlan().canComplete(route, arrivedMillis + expectedMillis)) {
            refuse(STOPS_BEFORE_ANSWER);
            return;
        }
        timeout = after(deadlineAtMillis - arrivedMillis, this::timedOut);
        if (firstAnswerDeadlineMillis < deadlineAtMillis) {
            firstAnswerTimeout =
                    after(
                            firstAnswerDeadlineMillis - arrivedMillis - REFUSAL_MARGIN_MILLIS,
                            this::firstAnswerTimedOut);
        }
        takeEntryPermit();
    }

    /**
     * Starts the stages. If all upstreams of the service limit their requests, an entry permit is
     * taken first; otherwise most stage work would go to requests that never get a send permit.
     */
    private void takeEntryPermit() {
        if (route.stages().isEmpty() || !context.permits().isNeeded(PermitKind.ENTRY, service())) {
            startStages();
            return;
        }
        permit =
                context.permits()
                        .acquire(
                                PermitKind.ENTRY,
                                service(),
                                rank(),
                                Math.round(MAX_ENTRY_WAIT_SHARE * route.objectiveMillis()),
                                decision -> guard(() -> onEntryPermitDecision(decision)));
    }

    private void onEntryPermitDecision(PermitDecision decision) {
        permitRetryMillis = decision.retryAfterMillis();
        if (decision.granted()) {
            startStages();
        } else {
            refuse("the upstreams take no more requests");
        }
    }

    private void startStages() {
        if (!ended) {
            stages.start(
                    choose(service(), loop.nowMillis())
                            .map(engine -> engine.entry().failureDomain())
                            .orElse(context.failureDomain()));
        }
    }

    private void stagesDone() {
        if (replacement.isRerunningStages()) {
            replacement.stagesDone();
        } else {
            dispatch();
        }
    }

    private void stagesFailed(String reason) {
        if (replacement.isRerunningStages()) {
            replacement.stagesFailed();
        } else if (relay.hasStarted()) {
            endOrRetryLater(reason, this::rerunStages);
        } else {
            endWithoutAnswer(reason);
        }
    }

    /**
     * Returns the expected time until an engine starts on the request, or until its stages are
     * done.
     */
    private long expectedMillis() {
        return stages.leastQueuedMillis()
                + shared.engineWaits().expectedMillis(service(), rank(), loop.nowMillis());
    }

    private double maxExpectedMillis(long callerWaitMillis) {
        return AdmissionLimit.maxExpectedMillis(callerWaitMillis, stages.leastMillis());
    }

    ServingState shared() {
        return shared;
    }

    CallerRequest request() {
        return request;
    }

    ServiceRoute route() {
        return route;
    }

    ResponseRelay relay() {
        return relay;
    }

    ServingContext context() {
        return context;
    }

    private String service() {
        return currentRoute().orElse(route).selectService(serviceSplitPoint);
    }

    /** Returns the route from the newest catalog, if that still contains it. */
    private Optional<ServiceRoute> currentRoute() {
        return context.catalog()
                .current()
                .flatMap(catalog -> catalog.route(request.host(), request.path()))
                .filter(newer -> newer.name().equals(route.name()));
    }

    int rank() {
        return rank.value();
    }

    private void dispatch() {
        long nowMillis = loop.nowMillis();
        if (!maySend(nowMillis)) {
            return;
        }
        String service = service();
        Optional<Upstream> upstream =
                choose(service, nowMillis).or(() -> availableInTime(service, nowMillis));
        if (upstream.isEmpty()) {
            String reason = "no upstream of " + service + " can take the request";
            if (relay.hasStarted() || targets.hasOtherThanTried(service)) {
                endOrRetryLater(reason, this::dispatchToTriedUpstream);
            } else {
                endWithoutAnswer(reason);
            }
        } else if (targets.needsPermit(upstream.get())) {
            takePermit(service, upstream.get(), nowMillis);
        } else {
            send(service, upstream.get(), nowMillis);
        }
    }

    /** Returns whether the request may still be sent; if not, it has been ended. */
    private boolean maySend(long nowMillis) {
        if (ended) {
            return false;
        }
        if (deadlineAtMillis - nowMillis < MIN_SEND_MILLIS) {
            timedOut();
            return false;
        }
        if (!isStillAuthorized()) {
            endWithoutAnswer("the key may no longer be honoured");
            return false;
        }
        return !endIfQuarantined() && !endIfStopping();
    }

    /**
     * Ends the request if this router exits before an upstream could answer it, unless it is at an
     * upstream or its stream has begun; returns whether it ended.
     */
    boolean endIfStopping() {
        boolean waiting = !ended && attempt == null && !relay.hasStarted();
        boolean endsNow = waiting && !shared.stopPlan().canComplete(route, loop.nowMillis());
        if (endsNow) {
            endWithoutAnswer(STOPS_BEFORE_ANSWER);
        }
        return endsNow;
    }

    /**
     * Ends the request if a part of its prompt is quarantined, unless an engine has already begun
     * to respond; returns whether it ended.
     */
    boolean endIfQuarantined() {
        if (ended || (attempt != null && attempt.hasBegun()) || !targets.isEngine(service())) {
            return false;
        }
        Optional<Quarantine> quarantine =
                context.quarantine().find(request.promptParts(), loop.nowMillis());
        quarantine.ifPresent(this::endQuarantined);
        return quarantine.isPresent();
    }

    private void endQuarantined(Quarantine quarantine) {
        context.observer()
                .decided(
                        request.id(),
                        Decision.QUARANTINED,
                        "part=%s crashes=%d remainingMillis=%d"
                                .formatted(
                                        quarantine.partId(),
                                        quarantine.crashes(),
                                        quarantine.remainingMillis()));
        String reason = "part " + quarantine.partId() + " of the prompt crashes engines";
        if (attempt != null || mayHaveRun) {
            mayHaveRun = true;
            endWithoutAnswer(reason);
        } else if (relay.hasStarted()) {
            breakOff(reason);
        } else if (end(RequestOutcome.REFUSED, reason)) {
            exchange.refuse(Refusal.notRun(reason, quarantine.remainingMillis()));
        }
    }

    private void takePermit(String service, Upstream upstream, long nowMillis) {
        long maxWaitMillis = maxPermitWaitMillis(service, nowMillis);
        permitWaits += maxWaitMillis > 0 ? 1 : 0;
        permit =
                context.permits()
                        .acquire(
                                PermitKind.SEND,
                                upstream.entry().id(),
                                rank(),
                                maxWaitMillis,
                                decision ->
                                        guard(() -> onPermitDecision(service, upstream, decision)));
    }

    private Optional<Upstream> availableInTime(String service, long nowMillis) {
        return permitWaits < MAX_PERMIT_WAITS
                ? targets.firstAvailable(service, maxPermitWaitMillis(service, nowMillis))
                : Optional.empty();
    }

    /**
     * Returns how long the request may wait for a permit: not at all if another upstream can accept
     * it, and longer if it has stages, because their finished work would be lost.
     */
    private long maxPermitWaitMillis(String service, long nowMillis) {
        if (targets.available(service).size() > 1) {
            return 0;
        }
        long objectiveRemainingMillis = arrivedMillis + route.objectiveMillis() - nowMillis;
        long callerRemainingMillis =
                route.stages().isEmpty() ? 0 : firstAnswerDeadlineMillis - nowMillis;
        double millis =
                Math.max(
                        MAX_PERMIT_WAIT_SHARE * objectiveRemainingMillis,
                        MAX_WAIT_AFTER_STAGES_SHARE * callerRemainingMillis);
        return Math.max(0, Math.round(millis));
    }

    private void onPermitDecision(String service, Upstream upstream, PermitDecision decision) {
        permitRetryMillis = decision.retryAfterMillis();
        long nowMillis = loop.nowMillis();
        boolean open =
                context.upstreams().serving(service).contains(upstream)
                        && upstream.blockedMillis(nowMillis) == 0;
        if (!decision.granted() || !open || !service.equals(service())) {
            dispatch();
        } else if (maySend(nowMillis)) {
            send(service, upstream, nowMillis);
        }
    }

    /** A stream that has started goes on, whatever a later configuration says of its key. */
    private boolean isStillAuthorized() {
        Optional<Catalog> catalog = context.catalog().current();
        if (relay.hasStarted() || workspace.isEmpty() || catalog.isEmpty()) {
            return true;
        }
        return context.catalog().acceptsKeys(loop.now())
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
                        engine ? Optional.of(rank.engineUrgency()) : Optional.empty(),
                        stages.handles(),
                        relay.resumeAfter(),
                        route.retryRule() != RetryRule.AT_MOST_ONCE,
                        targets.connectionShare(service));
        context.observer()
                .decided(
                        request.id(),
                        Decision.SENT,
                        "service=%s upstream=%s %s"
                                .formatted(
                                        service,
                                        upstream.entry().id(),
                                        context.upstreams()
                                                .announcements()
                                                .describe(upstream.entry().id(), nowMillis)));
        targets.markTried(upstream);
        attempts++;
        attempt = new UpstreamAttempt(this, service, upstream, engine);
        attempt.start(call);
    }

    /** Called when the upstream has read the inputs. */
    void inputsRead() {
        stages.inputsRead();
    }

    /** Called when the request did not run at the upstream. */
    void rejected(Upstream upstream, int status) {
        targets.markNeverRan(upstream);
        attempts--;
        rejections++;
        if (status != CONFLICT || route.stages().isEmpty()) {
            retryRejected(status);
        } else if (relay.hasStarted()) {
            rerunStages();
        } else {
            targets.allowWhereNeverRan();
            stages.rerunAfterLoss();
        }
    }

    /** Requests that were not sent need no retry budget, because no upstream received them. */
    private void retryRejected(int status) {
        if (rejections <= MAX_REJECTIONS && (status == NOT_SENT || takeRetry())) {
            context.observer()
                    .decided(request.id(), Decision.REPEATED, "rejected with status=" + status);
            backoff = after(rejections > 1 ? REJECTION_BACKOFF_MILLIS : 0, this::dispatch);
            return;
        }
        rejections = 0;
        endOrRetryLater("the upstreams reject the request", () -> retryRejected(status));
    }

    /**
     * Ends the request, unless this router has cancelled an attempt only because it was silent:
     * then the request is retried while its caller waits.
     */
    private void endOrRetryLater(String reason, Runnable retry) {
        long delayMillis = (replacementWaits + 1) * REPLACEMENT_BACKOFF_MILLIS;
        if (cancelledSilentAttempt && callerWaits(delayMillis)) {
            replacementWaits++;
            backoff.dispose();
            backoff = after(delayMillis, retry);
        } else {
            endWithoutAnswer(reason);
        }
    }

    private boolean callerWaits(long delayMillis) {
        return relay.hasStarted()
                || loop.nowMillis() + delayMillis
                        < firstAnswerDeadlineMillis - REFUSAL_MARGIN_MILLIS;
    }

    /** Retries at upstreams that were tried before; the events of a started stream have ids. */
    private void dispatchToTriedUpstream() {
        if (relay.hasStarted()) {
            targets.allowAll();
        } else {
            targets.allowWhereNeverRan();
        }
        dispatch();
    }

    private void rerunStages() {
        if (takeRetry()) {
            stages.rerun(nextEventDeadlineMillis());
        } else {
            endOrRetryLater("the retry budget is used up", this::rerunStages);
        }
    }

    /** Called when the attempt makes progress. */
    void attemptHeard() {
        lastEventMillis = loop.nowMillis();
        replacement.attemptHeard();
    }

    /** Called repeatedly while the attempt is silent for too long. */
    void attemptSilent(String reason) {
        replacement.attemptSilent(reason);
    }

    long nowMillis() {
        return loop.nowMillis();
    }

    /** Returns whether the request may be sent to another upstream in place of its attempt. */
    boolean mayReplaceAttempt() {
        long nowMillis = loop.nowMillis();
        return mayRepeat(nowMillis)
                && context.budget().canRetry(service(), nowMillis)
                && !targets.availableWithoutPermit(service()).isEmpty();
    }

    private boolean mayRepeat(long nowMillis) {
        return mayRunAgain()
                && attempt.leavesTimeForNext(firstAnswerDeadlineMillis - nowMillis)
                && attempts < route.maxAttempts()
                && deadlineAtMillis - nowMillis >= MIN_SEND_MILLIS
                && isStillAuthorized()
                && shared.stopPlan().canComplete(route, nowMillis);
    }

    /**
     * Cancels the attempt and sends the request to another upstream; does nothing if none can take
     * it at once or answer it in time.
     *
     * @param retryTaken whether the retry budget has been charged for it
     * @return whether the attempt was replaced
     */
    boolean replaceAttempt(String reason, boolean retryTaken) {
        long nowMillis = loop.nowMillis();
        String service = service();
        Optional<Upstream> upstream =
                mayRepeat(nowMillis)
                        ? targets.chooseWithoutPermit(service, stages.prompt(), nowMillis)
                        : Optional.empty();
        if (upstream.isEmpty() || !(retryTaken || takeRetry())) {
            return false;
        }
        reportRepeat(reason);
        mayHaveRun = true;
        cancelledSilentAttempt = true;
        attempt.cancel();
        send(service, upstream.get(), nowMillis);
        return true;
    }

    private void reportRepeat(String reason) {
        context.observer()
                .decided(
                        request.id(),
                        relay.hasStarted() ? Decision.RESUMED : Decision.REPEATED,
                        reason);
    }

    /** Returns how long the caller waits for the first event and between two events. */
    private long maxCallerSilenceMillis() {
        return firstAnswerDeadlineMillis - arrivedMillis;
    }

    /** Returns when the caller will have stopped waiting for the next event. */
    long nextEventDeadlineMillis() {
        return relay.hasStarted()
                ? Math.min(deadlineAtMillis, lastEventMillis + maxCallerSilenceMillis())
                : firstAnswerDeadlineMillis;
    }

    /** Called when an attempt failed and may have run; returns whether another attempt follows. */
    boolean failed(String reason) {
        mayHaveRun = true;
        boolean retryable = mayRunAgain() && attempts < route.maxAttempts();
        boolean prepared = replacement.attemptFailed();
        if (!retryable) {
            return false;
        }
        if (!(prepared || takeRetry())) {
            return retriesFailedLater(reason);
        }
        reportRepeat(reason);
        if (!prepared || stages.areComplete()) {
            loop.execute(() -> guard(this::retry));
        }
        return true;
    }

    /** Returns whether a started stream that lost a silent attempt waits for the retry budget. */
    private boolean retriesFailedLater(String reason) {
        boolean retries = cancelledSilentAttempt && relay.hasStarted();
        if (retries) {
            endOrRetryLater(reason, () -> retryFailed(reason));
        }
        return retries;
    }

    private void retryFailed(String reason) {
        if (takeRetry()) {
            reportRepeat(reason);
            retry();
        } else {
            endOrRetryLater(reason, () -> retryFailed(reason));
        }
    }

    /** Retries the request, rerunning its stages if a failed attempt has consumed their results. */
    private void retry() {
        if (ended) {
            return;
        }
        if (stages.areConsumed()) {
            stages.rerun(nextEventDeadlineMillis());
        } else {
            dispatch();
        }
    }

    private boolean mayRunAgain() {
        return route.retryRule() != RetryRule.AT_MOST_ONCE
                && relay.isResumable()
                && !mayCrashAnother();
    }

    private boolean mayCrashAnother() {
        return targets.isEngine(service())
                && context.quarantine().isSuspicious(request.promptParts());
    }

    /** Charges the retry budget, if it allows a retry. */
    boolean takeRetry() {
        return context.budget().tryRetry(service(), loop.nowMillis());
    }

    void endWithoutAnswer(String reason) {
        if (relay.hasStarted()) {
            breakOff(reason);
        } else if (mayHaveRun) {
            fail(Refusal.BAD_GATEWAY, reason);
        } else {
            refuse(reason);
        }
    }

    void reportFailure(Upstream upstream, String service, boolean broken) {
        OutlierDetector.recordFailure(
                upstream, context.upstreams().serving(service), broken, loop.nowMillis());
    }

    void answered(long upstreamMillis) {
        shared.stopPlan().completed(route, upstreamMillis);
        end(RequestOutcome.ANSWERED, relay.describeForwarded());
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        if (relay.hasStarted()) {
            breakOff("time is up");
        } else if (mayHaveRun || attempt != null) {
            fail(Refusal.GATEWAY_TIMEOUT, "no answer in time");
        } else {
            refuse("the time did not suffice");
        }
    }

    /** Ends a request without an attempt before its caller stops waiting for a first event. */
    private void firstAnswerTimedOut() {
        if (!ended && !relay.hasStarted() && attempt == null) {
            endWithoutAnswer("the caller waits no longer for a first event");
        }
    }

    private void refuse(String reason) {
        long remainingMillis = deadlineAtMillis - loop.nowMillis();
        RequestTargets.Availability availability = targets.availability(service());
        long excessMillis =
                Math.max(
                        Math.max(permitRetryMillis, availability.firstMillis()),
                        RetryAfter.excessMillis(
                                expectedMillis(),
                                maxExpectedMillis(
                                        route.firstResponseTimeoutMillis(remainingMillis)),
                                route.objectiveMillis(),
                                context.catalog().shedsByCost()));
        long retryAfterMillis =
                RetryAfter.delayMillis(
                        excessMillis,
                        availability.lastMillis() - availability.firstMillis(),
                        remainingMillis,
                        rank(),
                        context.random().nextDouble());
        if (end(RequestOutcome.REFUSED, reason)) {
            exchange.refuse(Refusal.notRun(reason, retryAfterMillis));
        }
    }

    private void fail(int status, String reason) {
        if (end(RequestOutcome.FAILED, status + " " + reason)) {
            exchange.refuse(Refusal.of(status, reason));
        }
    }

    private void breakOff(String reason) {
        if (end(RequestOutcome.BROKEN_OFF, reason)) {
            exchange.abort();
        }
    }

    /** Ends the request, whatever its state, as this router exits. */
    void endAtExit() {
        mayHaveRun = mayHaveRun || attempt != null;
        endWithoutAnswer("this router stops");
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
        backoff.dispose();
        permit.dispose();
        cleanUp(this::cancelAttempt);
        cleanUp(stages::end);
        cleanUp(() -> onEnd.accept(this));
        long elapsedMillis = loop.nowMillis() - arrivedMillis;
        cleanUp(
                () ->
                        context.observer()
                                .ended(request.id(), route.name(), end, detail, elapsedMillis));
        return true;
    }

    private void cancelAttempt() {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Runs a step after which the request must still be answered. */
    private void cleanUp(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            logger.atSevere().withCause(e).log("request %s not cleaned up", request.id());
        }
    }

    void attemptEnded() {
        attempt = null;
    }
}
