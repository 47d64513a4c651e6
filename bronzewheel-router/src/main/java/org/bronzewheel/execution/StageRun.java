package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.upstream.StageAnswer;
import org.bronzewheel.upstream.TokenListener;
import org.bronzewheel.upstream.UpstreamStatusException;

/** One stage of a request with all its attempts. */
final class StageRun {
    private static final long RETRY_DELAY_MILLIS = 10;
    private static final long MIN_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ExecutionServices services;
    private final RunContext run;
    private final RunLedger ledger;
    private final HeldRequest held;
    private final int index;
    private final JsonNode input;
    private final long beginNanos;
    private final Set<String> tried = ConcurrentHashMap.newKeySet();
    private final AtomicInteger attempts = new AtomicInteger();
    private volatile BronzewheelException givenUpForRetry;

    StageRun(
            ExecutionServices services,
            RunContext run,
            RunLedger ledger,
            HeldRequest held,
            int index,
            JsonNode input) {
        this.services = services;
        this.run = run;
        this.ledger = ledger;
        this.held = held;
        this.index = index;
        this.input = input;
        this.beginNanos = services.nanoClock().getAsLong();
    }

    /**
     * The answer of a stage.
     *
     * @param output the input of the next stage
     * @param report what the stage took
     */
    record Result(JsonNode output, StageReport report) {}

    Single<Result> start() {
        return Single.defer(this::attempt)
                .doOnSuccess(
                        result -> {
                            ledger.stageAnswered();
                            services.retries().onSuccess();
                        });
    }

    private Single<Result> attempt() {
        return services.workers()
                .place(run, index, Set.copyOf(tried))
                .flatMap(this::send)
                .onErrorResumeNext(this::retryOrFail);
    }

    private Single<Result> send(Placement placement) {
        tried.add(placement.upstream().name());
        AttemptRun attempt = newAttempt(placement);
        Single<Result> first = start(attempt, textListener());
        return withTimeout(withHedge(first, attempt, placement));
    }

    private AttemptRun newAttempt(Placement placement) {
        AttemptId attemptId = new AttemptId(run.id(), index, attempts.incrementAndGet());
        return new AttemptRun(services, run, ledger, attemptId, placement, input);
    }

    private Single<Result> start(AttemptRun attempt, TokenListener text) {
        return attempt.start(text).map(answer -> result(answer, attempt));
    }

    private TokenListener textListener() {
        boolean last = index == run.pipeline().stages().size() - 1;
        return last ? new AttemptText(held) : TokenListener.NONE;
    }

    /**
     * Gives an attempt of an idempotent stage up once it took the stage's part of the deadline and
     * another attempt may be made; without one it goes on until the deadline.
     */
    private Single<Result> withTimeout(Single<Result> attempt) {
        long timeoutNanos =
                Math.max(MIN_ATTEMPT_NANOS, services.workers().attemptTimeoutNanos(run, index));
        if (!run.stage(index).idempotent() || timeoutNanos >= run.deadline().remainingNanos()) {
            return attempt;
        }
        Completable timer =
                Completable.timer(timeoutNanos, TimeUnit.NANOSECONDS, services.scheduler());
        return attempt.takeUntil(timer.andThen(Completable.defer(this::giveUpForRetry)));
    }

    private Completable giveUpForRetry() {
        BronzewheelException error = tooSlow();
        if (!mayRetry(error)) {
            return Completable.never();
        }
        givenUpForRetry = error;
        return Completable.error(error);
    }

    /** Races an attempt that takes long with a second one; the first answer counts. */
    private Single<Result> withHedge(
            Single<Result> first, AttemptRun attempt, Placement placement) {
        OptionalLong delayNanos = services.workers().hedgeDelayNanos(run, index);
        if (delayNanos.isEmpty() || generatesStream()) {
            return first;
        }
        AtomicBoolean begun = new AtomicBoolean();
        Single<Result> hedge =
                Single.timer(delayNanos.getAsLong(), TimeUnit.NANOSECONDS, services.scheduler())
                        .flatMap(tick -> hedge(attempt, placement, begun));
        return Race.firstAnswer(first, new HedgeSide<>(hedge, begun));
    }

    private Single<Result> hedge(AttemptRun first, Placement placement, AtomicBoolean begun) {
        Optional<Placement> second =
                services.workers().hedge(run, index, placement, Set.copyOf(tried));
        if (second.isEmpty()) {
            return Single.never();
        }
        begun.set(true);
        AttemptRun attempt = newAttempt(second.get());
        first.markHedged();
        attempt.markHedged();
        return start(attempt, TokenListener.NONE);
    }

    /** Tells whether a caller reads the text of this stage while it is generated. */
    private boolean generatesStream() {
        return run.request().streamed() && run.pool(index).kind() == PoolKind.MODEL_ENGINE;
    }

    private Result result(StageAnswer answer, AttemptRun attempt) {
        long elapsedNanos = services.nanoClock().getAsLong() - beginNanos;
        StageReport report =
                new StageReport(
                        run.stage(index).name(),
                        attempt.upstreamName(),
                        attempts.get(),
                        TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                        answer.usage());
        return new Result(answer.output(), report);
    }

    private Single<Result> retryOrFail(Throwable error) {
        BronzewheelException known = Bodies.known(error);
        boolean retryTaken = known == givenUpForRetry;
        if (!retryTaken && (isFinal(known) || !mayRetry(known))) {
            return Single.error(known);
        }
        long delayMillis = RETRY_DELAY_MILLIS * (attempts.get() - 1);
        return Single.timer(delayMillis, TimeUnit.MILLISECONDS, services.scheduler())
                .flatMap(tick -> attempt());
    }

    /** Tells whether the error is not that of a worker, so that a further attempt cannot help. */
    private static boolean isFinal(BronzewheelException error) {
        if (error instanceof UpstreamStatusException status && status.blamesRequest()) {
            return true;
        }
        return switch (error.code()) {
            case UPSTREAM_REFUSED, UPSTREAM_FAILED, UPSTREAM_BROKEN, UPSTREAM_ANSWER_INVALID ->
                    false;
            default -> true;
        };
    }

    private boolean mayRetry(BronzewheelException error) {
        boolean keyChecked =
                !run.upstreamKey(index).isEmpty() && error.code() != ErrorCode.UPSTREAM_FAILED;
        boolean repeatable = run.stage(index).idempotent() || keyChecked;
        return services.retries().tryRetry(error.outcome(), repeatable, attempts.get(), run, index);
    }

    private static BronzewheelException tooSlow() {
        return new BronzewheelException(
                ErrorCode.UPSTREAM_BROKEN,
                Outcome.UNKNOWN,
                "the attempt took longer than its part of the deadline",
                null);
    }
}
