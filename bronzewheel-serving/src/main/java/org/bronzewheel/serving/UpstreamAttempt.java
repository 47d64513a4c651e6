package org.bronzewheel.serving;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.disposables.Disposable;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.ReceiveClock;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.upstreams.Upstream;

/** One attempt of a request at one upstream: validates the response and detects silence. */
final class UpstreamAttempt implements UpstreamListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SERVER_ERROR = 500;
    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long STREAM_SILENCE_MILLIS = 700;

    /**
     * The part of the time that the caller still waits at the begin of a silence after which a
     * stream is resumed elsewhere.
     */
    private static final double RESUME_SHARE = 0.5;

    private static final long ENGINE_SILENCE_MILLIS = 1_000;
    private static final long BUSY_ENGINE_SILENCE_MILLIS = 4_000;
    private static final long PLAIN_SILENCE_MILLIS = 400;
    private static final double PLAIN_SILENCE_FACTOR = 4;
    private static final int BUSY_PLAIN_SILENCE_FACTOR = 3;

    private final RequestExecution execution;
    private final ServingContext context;
    private final Loop loop;
    private final String service;
    private final Upstream upstream;
    private final boolean engine;
    private final int promptTokens;
    private final ReceiveClock receiveClock;
    private final PromptTrial trial;
    private final FirstEventTimer firstEvent;
    private final long sentMillis;
    private final boolean resumes;
    private final AnswerPatience patience;
    private long lastWrittenMillis;
    private long lastHeardMillis;
    private long nextEventWaitMillis;
    private long lastCheckMillis;
    private ConnectionUse connection;
    private UpstreamHead head;
    private boolean promptRead;
    private boolean silenceReported;
    private boolean endedByClose;
    private boolean ended;
    private Runnable forgetMemory = () -> {};
    private Disposable call = Disposable.disposed();
    private Disposable check = Disposable.disposed();

    UpstreamAttempt(RequestExecution execution, String service, Upstream upstream, boolean engine) {
        this.execution = execution;
        this.context = execution.context();
        this.loop = context.loop();
        this.service = service;
        this.upstream = upstream;
        this.engine = engine;
        this.connection = ConnectionUse.none(upstream.entry().id());
        this.promptTokens = execution.request().promptTokens();
        this.trial =
                new PromptTrial(context.quarantine(), upstream, execution.request().promptParts());
        this.sentMillis = loop.nowMillis();
        this.receiveClock = execution.shared().receiveClock();
        this.lastWrittenMillis = receiveClock.nowMillis();
        this.resumes = execution.relay().hasStarted();
        this.patience =
                new AnswerPatience(
                        execution.shared().answerTimes(), execution.route(), service, engine);
        this.firstEvent = new FirstEventTimer(context, upstream, execution.request());
        this.lastHeardMillis = lastWrittenMillis;
        this.lastCheckMillis = sentMillis;
        this.nextEventWaitMillis = execution.nextEventDeadlineMillis() - sentMillis;
    }

    void start(UpstreamCall request) {
        upstream.callStarted(promptTokens);
        upstream.requestSent(sentMillis);
        forgetMemory =
                execution
                        .shared()
                        .responseMemory()
                        .add(
                                upstream.entry().id(),
                                execution.relay()::occupiedBytes,
                                () -> execution.guard(this::giveUp));
        if (engine) {
            execution.shared().engineWaits().sent(service, execution.rank(), sentMillis);
        }
        try {
            call = context.upstreamClient().send(request, this);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "cannot send request %s to upstream %s",
                    execution.request().id(), upstream.entry().id());
            onFailure(CallFailure.BROKEN, "an unexpected error");
            return;
        }
        if (execution.route().retryRule() != RetryRule.AT_MOST_ONCE) {
            check = loop.every(CHECK_INTERVAL_MILLIS, () -> execution.guard(this::checkSilence));
        }
    }

    /** Gives the attempt up and cancels it at the upstream. */
    void cancel() {
        if (!ended && !resumes && !execution.relay().hasStarted()) {
            patience.unanswered(upstream.entry().id(), elapsedMillis());
        }
        cancelCall();
    }

    /**
     * Returns whether a request that has not begun to be answered could still be answered in time
     * by an attempt that begins now. If not, this one is more likely to be answered in time.
     */
    boolean leavesTimeForNext(long remainingMillis) {
        return execution.relay().hasStarted()
                || patience.leavesTimeForNext(elapsedMillis(), remainingMillis);
    }

    private long elapsedMillis() {
        return loop.nowMillis() - sentMillis;
    }

    private void recordAnswer() {
        if (!resumes) {
            patience.answered(elapsedMillis());
        }
    }

    private void cancelCall() {
        if (end()) {
            call.dispose();
            report(Decision.ATTEMPT_FAILED);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        check.dispose();
        forgetMemory.run();
        upstream.callEnded(promptRead ? 0 : promptTokens);
        if (engine && !promptRead) {
            execution
                    .shared()
                    .engineWaits()
                    .ended(service, execution.rank(), false, loop.nowMillis());
        }
        execution.attemptEnded();
        return true;
    }

    private void report(Decision result) {
        String millis = " millis=" + elapsedMillis();
        String detail =
                head == null
                        ? "status=none " + connection + millis
                        : "status=" + head.status() + " " + head.describeOrigin() + millis;
        context.observer().decided(execution.request().id(), result, detail);
    }

    /** Returns whether an engine has begun to respond. */
    boolean hasBegun() {
        return trial.hasBegun();
    }

    private void attemptHeard() {
        execution.attemptHeard();
        nextEventWaitMillis = execution.nextEventDeadlineMillis() - loop.nowMillis();
    }

    private void markHeard() {
        lastHeardMillis = receiveClock.nowMillis();
        upstream.bytesReceived(lastHeardMillis);
    }

    @Override
    public void onConnected(ConnectionUse use) {
        connection = use;
    }

    @Override
    public void onRequestProgress() {
        lastWrittenMillis = receiveClock.nowMillis();
    }

    @Override
    public void onHead(UpstreamHead next) {
        execution.guard(() -> receiveHead(next));
    }

    private void receiveHead(UpstreamHead next) {
        if (ended) {
            return;
        }
        markHeard();
        attemptHeard();
        head = next;
        if (next.misdirected()) {
            upstream.markMisdirected();
        }
        if (next.neverRan()) {
            cancelCall();
            execution.rejected(upstream, next.status());
        } else if (next.isSuccess() && (!next.signed() || next.encoded())) {
            reject("a success without the upstream's signature");
        } else if (!execution.relay().canContinueWith(next)) {
            reject("no continuation of the stream: status " + next.status());
        } else if (!next.isSuccess() && mustNotForward(next)) {
            reject("status " + next.status());
        } else if (next.status() >= SERVER_ERROR && failsOver(next)) {
            return;
        } else {
            execution.relay().head(next);
        }
    }

    /**
     * Returns whether forwarding a failure would guarantee more to the caller than the upstream
     * did.
     */
    private static boolean mustNotForward(UpstreamHead head) {
        return !head.signed()
                || switch (head.status()) {
                    case 408, 421, 429, 503 -> true;
                    default -> false;
                };
    }

    private boolean failsOver(UpstreamHead failure) {
        if (execution.route().retryRule() != RetryRule.IDEMPOTENT) {
            return false;
        }
        if (!execution.failed("status " + failure.status())) {
            return false;
        }
        execution.reportFailure(upstream, service, false);
        cancelCall();
        return true;
    }

    /** Discards the response; the request may have run. */
    private void reject(String reason) {
        context.observer().decided(execution.request().id(), Decision.ANSWER_REJECTED, reason);
        abandon(reason);
    }

    private void giveUp() {
        if (!ended) {
            reject("the answers occupy too much memory");
        }
    }

    private void abandon(String reason) {
        cancelCall();
        execution.reportFailure(upstream, service, true);
        if (!execution.failed(reason)) {
            execution.endWithoutAnswer(reason);
        }
    }

    @Override
    public void onData(byte[] bytes) {
        execution.guard(() -> receiveData(bytes));
    }

    private void receiveData(byte[] bytes) {
        if (ended) {
            return;
        }
        upstream.bytesReceived(receiveClock.nowMillis());
        long forwardedBefore = execution.relay().forwardedEvents();
        long occupiedBefore = execution.relay().occupiedBytes();
        boolean first = execution.relay().data(bytes);
        execution
                .shared()
                .responseMemory()
                .grown(Math.max(0, execution.relay().occupiedBytes() - occupiedBefore));
        if (ended) {
            return;
        }
        if (first) {
            recordAnswer();
        }
        // Bytes of a stream that complete no event do not count as progress.
        if (!execution.route().streaming()
                || execution.relay().forwardedEvents() > forwardedBefore) {
            lastHeardMillis = receiveClock.nowMillis();
            attemptHeard();
        }
        if (!promptRead && engine && (first || execution.relay().hasStarted())) {
            onPromptRead();
            if (execution.route().streaming()) {
                firstEvent.began();
            }
            execution.inputsRead();
        }
        trial.progressed(loop.nowMillis());
        if (execution.relay().isTooLarge()) {
            reject("the answer is too large");
        } else if (execution.relay().isDiscontinuous()) {
            reject("no continuation of the stream: an event without id");
        }
    }

    /** Called when the engine has read the prompt and started to respond. */
    private void onPromptRead() {
        promptRead = true;
        trial.began(loop.nowMillis());
        upstream.promptTokensRead(promptTokens);
        execution.shared().engineWaits().ended(service, execution.rank(), true, loop.nowMillis());
    }

    @Override
    public void onEndedByClose() {
        endedByClose = true;
    }

    @Override
    public void onEnd() {
        execution.guard(this::receiveEnd);
    }

    private void receiveEnd() {
        if (ended) {
            return;
        }
        markHeard();
        if (!execution.relay().isComplete()) {
            if (engine && endedByClose) {
                trial.disconnected(loop.nowMillis());
            }
            abandon("the stream is incomplete");
            return;
        }
        if (head.status() >= SERVER_ERROR) {
            execution.reportFailure(upstream, service, false);
        } else {
            upstream.recordSuccess((double) elapsedMillis());
        }
        if (head.isSuccess() && !execution.route().streaming()) {
            recordAnswer();
        }
        execution.relay().finish();
        // A stream that ends with its connection and has no events may be the end of its engine.
        boolean answered = promptRead || !execution.route().streaming();
        if (engine && !promptRead) {
            onPromptRead();
        }
        if (answered && head.isSuccess() && !endedByClose) {
            trial.completed(loop.nowMillis());
        }
        end();
        report(head.isSuccess() ? Decision.ATTEMPT_SUCCEEDED : Decision.ATTEMPT_FAILED);
        execution.answered(elapsedMillis());
    }

    @Override
    public void onDisconnected() {
        if (!ended && engine) {
            execution.guard(() -> trial.disconnected(loop.nowMillis()));
        }
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        execution.guard(() -> receiveFailure(failure, reason));
    }

    private void receiveFailure(CallFailure failure, String reason) {
        if (ended) {
            return;
        }
        end();
        report(Decision.ATTEMPT_FAILED);
        switch (failure) {
            case NOT_SENT -> {
                execution.reportFailure(upstream, service, true);
                execution.rejected(upstream, RequestExecution.NOT_SENT);
            }
            case WITHHELD -> execution.rejected(upstream, RequestExecution.NOT_SENT);
            case BROKEN -> abandon(reason);
        }
    }

    /**
     * Reports a silent upstream. The request is repeated elsewhere if possible, a started stream
     * only after a longer silence.
     */
    private void checkSilence() {
        if (ended) {
            return;
        }
        long nowMillis = loop.nowMillis();
        long lateMillis = nowMillis - lastCheckMillis - CHECK_INTERVAL_MILLIS;
        lastCheckMillis = nowMillis;
        long receiveMillis = receiveClock.nowMillis();
        long upstreamMillis = receiveMillis - upstream.lastReceivedMillis(lastWrittenMillis);
        long requestMillis = receiveMillis - Math.max(lastHeardMillis, lastWrittenMillis);
        if (upstreamMillis <= upstreamSilenceMillis() && requestMillis <= requestSilenceMillis()) {
            return;
        }
        if (!silenceReported) {
            silenceReported = true;
            execution.reportFailure(upstream, service, true);
        }
        boolean replaceable =
                execution.relay().hasStarted()
                        ? requestMillis > RESUME_SHARE * nextEventWaitMillis
                        : requestMillis > patience.silenceMillis();
        if (replaceable) {
            execution.attemptSilent(
                    "silent for %d ms, upstream for %d ms, checked %d ms late"
                            .formatted(requestMillis, upstreamMillis, lateMillis));
        }
    }

    private long upstreamSilenceMillis() {
        if (execution.relay().hasStarted()) {
            return STREAM_SILENCE_MILLIS;
        }
        return engine ? ENGINE_SILENCE_MILLIS : plainSilenceMillis();
    }

    private long requestSilenceMillis() {
        if (execution.relay().hasStarted()) {
            return 2 * STREAM_SILENCE_MILLIS;
        }
        return engine
                ? BUSY_ENGINE_SILENCE_MILLIS
                : BUSY_PLAIN_SILENCE_FACTOR * plainSilenceMillis();
    }

    private long plainSilenceMillis() {
        return Math.max(
                PLAIN_SILENCE_MILLIS, Math.round(PLAIN_SILENCE_FACTOR * upstream.millisPerCall()));
    }
}
