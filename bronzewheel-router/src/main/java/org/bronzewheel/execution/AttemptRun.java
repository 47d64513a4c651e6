package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.logging.LogKeys;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.upstream.StageAnswer;
import org.bronzewheel.upstream.StageCall;
import org.bronzewheel.upstream.StageClient;
import org.bronzewheel.upstream.TokenListener;
import org.bronzewheel.upstream.UpstreamStatusException;

/**
 * One attempt of one stage. Disposing of it supersedes it: it is cancelled at its upstream, and an
 * answer that still comes is dropped and its cost booked.
 */
final class AttemptRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long LATE_ANSWER_MILLIS = 2_000;

    private final ExecutionServices services;
    private final RunContext run;
    private final RunLedger ledger;
    private final int stageIndex;
    private final Placement placement;
    private final StageCall call;
    private final StageClient client;
    private final Span span;
    private final long beginNanos;
    private boolean sent;
    private boolean ended;
    private boolean superseded;
    private volatile boolean hedged;
    private Disposable exchange = Disposable.empty();

    AttemptRun(
            ExecutionServices services,
            RunContext run,
            RunLedger ledger,
            AttemptId attemptId,
            Placement placement,
            JsonNode input) {
        this.services = services;
        this.run = run;
        this.ledger = ledger;
        this.stageIndex = attemptId.stageIndex();
        this.placement = placement;
        this.client = services.clients().of(run.pool(stageIndex).kind());
        this.beginNanos = services.nanoClock().getAsLong();
        this.span =
                services.tracing()
                        .begin(
                                "attempt " + run.stage(stageIndex).name(),
                                SpanKind.CLIENT,
                                run.trace());
        span.setAttribute("bronzewheel.attempt_id", attemptId.toString());
        span.setAttribute("bronzewheel.upstream", placement.upstream().name());
        this.call = call(attemptId, input);
    }

    private StageCall call(AttemptId attemptId, JsonNode input) {
        return new StageCall(
                attemptId,
                run.stage(stageIndex),
                run.pool(stageIndex),
                placement.upstream(),
                run.request().workspace(),
                run.requestClass().priority(),
                run.upstreamKey(stageIndex),
                this::permit,
                input,
                services.tracing().inject(run.trace().with(span)));
    }

    /** Notes that the attempt races with another one. */
    void markHedged() {
        hedged = true;
    }

    String upstreamName() {
        return placement.upstream().name();
    }

    Single<StageAnswer> start(TokenListener text) {
        return Single.create(
                emitter -> {
                    emitter.setCancellable(this::supersede);
                    begin(emitter, text);
                });
    }

    private void begin(SingleEmitter<StageAnswer> emitter, TokenListener text) {
        Disposable subscription =
                client.call(call, (offset, tokens, piece) -> pass(text, offset, tokens, piece))
                        .map(this::checkEcho)
                        .subscribe(
                                answer -> succeed(emitter, answer), error -> fail(emitter, error));
        boolean stopNow;
        synchronized (this) {
            exchange = subscription;
            stopNow = superseded && !sent;
        }
        if (stopNow) {
            subscription.dispose();
        }
    }

    private void pass(TokenListener text, long offset, long tokens, String piece) {
        synchronized (this) {
            if (superseded) {
                return;
            }
        }
        text.token(offset, tokens, piece);
    }

    /** Checks immediately before the bytes leave that the attempt may still be sent. */
    private long permit() {
        if (claimIsLost()) {
            throw new BronzewheelException(
                    ErrorCode.CLAIM_UNAVAILABLE, "the claim of the key is no longer valid");
        }
        synchronized (this) {
            long remainingMillis = run.deadline().remainingMillis();
            if (superseded) {
                throw new BronzewheelException(ErrorCode.CANCELLED, "the attempt was given up");
            }
            if (remainingMillis < 1) {
                throw new BronzewheelException(
                        ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the call left");
            }
            if (!sent && !ledger.trySend()) {
                throw new BronzewheelException(ErrorCode.CANCELLED, "the request has ended");
            }
            sent = true;
            return remainingMillis;
        }
    }

    private boolean claimIsLost() {
        return !run.stage(stageIndex).idempotent()
                && run.claim().isPresent()
                && !services.claims().isStillGranted(run.claim().get());
    }

    private StageAnswer checkEcho(StageAnswer answer) {
        if (answer.attemptId().equals(call.attemptId())) {
            return answer;
        }
        throw new BronzewheelException(
                ErrorCode.UPSTREAM_ANSWER_INVALID,
                Outcome.UNKNOWN,
                "the answer belongs to another attempt",
                null);
    }

    private void succeed(SingleEmitter<StageAnswer> emitter, StageAnswer answer) {
        if (!end(Outcome.ANSWERED)) {
            services.metrics().lateAnswer(run.pool(stageIndex).name());
            book(hedged ? CostKind.HEDGE : CostKind.LATE, answer);
            return;
        }
        placement.end(Outcome.ANSWERED);
        report(Outcome.ANSWERED);
        book(CostKind.PRIMARY, answer);
        emitter.onSuccess(answer);
    }

    private void fail(SingleEmitter<StageAnswer> emitter, Throwable error) {
        BronzewheelException known = Bodies.known(error);
        if (!end(known.outcome())) {
            return;
        }
        if (blamesWorker(known)) {
            placement.end(known.outcome());
        } else {
            placement.cancel();
        }
        report(known.outcome());
        logger.atInfo()
                .with(LogKeys.REQUEST_ID, run.id().toString())
                .with(LogKeys.TRACE_ID, span.getSpanContext().getTraceId())
                .log(
                        "attempt %s at %s ended with %s, outcome %s",
                        call.attemptId(), upstreamName(), known.code(), known.outcome());
        emitter.tryOnError(known);
    }

    private static boolean blamesWorker(BronzewheelException error) {
        if (error instanceof UpstreamStatusException status) {
            return !status.blamesRequest();
        }
        return switch (error.code()) {
            case UPSTREAM_REFUSED, UPSTREAM_FAILED, UPSTREAM_BROKEN, UPSTREAM_ANSWER_INVALID ->
                    true;
            default -> false;
        };
    }

    /** Books the end; false where the attempt was superseded before. */
    private boolean end(Outcome outcome) {
        boolean wasSent;
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
            wasSent = sent;
        }
        // An attempt that ends otherwise than NOT_RUN may have run, permit or not.
        if (wasSent || (outcome != Outcome.NOT_RUN && ledger.trySend())) {
            ledger.ended(outcome);
        }
        return true;
    }

    private void report(Outcome outcome) {
        services.metrics().attemptEnded(run.pool(stageIndex).name(), outcome, elapsedNanos());
        span.setAttribute("bronzewheel.outcome", outcome.name());
        if (outcome != Outcome.ANSWERED) {
            span.setStatus(StatusCode.ERROR, outcome.name());
        }
        span.end();
    }

    private void supersede() {
        boolean wasSent;
        Disposable subscription;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            superseded = true;
            wasSent = sent;
            subscription = exchange;
        }
        placement.cancel();
        report(wasSent ? Outcome.UNKNOWN : Outcome.NOT_RUN);
        if (!wasSent) {
            subscription.dispose();
            return;
        }
        client.cancel(call).onErrorComplete().subscribe();
        // The exchange stays open for a while so that the cost of a late answer is booked.
        services.scheduler()
                .scheduleDirect(this::closeExchange, LATE_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeExchange() {
        Disposable subscription;
        synchronized (this) {
            subscription = exchange;
        }
        subscription.dispose();
    }

    private void book(CostKind kind, StageAnswer answer) {
        services.costs()
                .book(
                        run.pipeline().name(),
                        run.stage(stageIndex).name(),
                        run.request().workspace(),
                        kind,
                        answer.usage());
    }

    private long elapsedNanos() {
        return services.nanoClock().getAsLong() - beginNanos;
    }
}
