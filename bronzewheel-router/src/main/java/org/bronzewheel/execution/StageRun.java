package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.upstream.StageAnswer;
import org.bronzewheel.upstream.TokenListener;

/** One stage of a request with all its attempts. */
final class StageRun {
    private static final long RETRY_DELAY_MILLIS = 10;

    private final ExecutionServices services;
    private final RunContext run;
    private final RunLedger ledger;
    private final HeldRequest held;
    private final int index;
    private final JsonNode input;
    private final long beginNanos;
    private final Set<String> tried = new HashSet<>();
    private int attempts;

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
        attempts++;
        tried.add(placement.upstream().name());
        AttemptId attemptId = new AttemptId(run.id(), index, attempts);
        AttemptRun attempt = new AttemptRun(services, run, ledger, attemptId, placement, input);
        return attempt.start(textListener()).map(answer -> result(answer, attempt));
    }

    private TokenListener textListener() {
        boolean last = index == run.pipeline().stages().size() - 1;
        return last ? new AttemptText(held) : TokenListener.NONE;
    }

    private Result result(StageAnswer answer, AttemptRun attempt) {
        long elapsedNanos = services.nanoClock().getAsLong() - beginNanos;
        StageReport report =
                new StageReport(
                        run.stage(index).name(),
                        attempt.upstreamName(),
                        attempts,
                        TimeUnit.NANOSECONDS.toMillis(elapsedNanos),
                        answer.usage());
        return new Result(answer.output(), report);
    }

    private Single<Result> retryOrFail(Throwable error) {
        BronzewheelException known = Bodies.known(error);
        if (isFinal(known) || !mayRetry(known)) {
            return Single.error(known);
        }
        long delayMillis = RETRY_DELAY_MILLIS * (attempts - 1);
        return Single.timer(delayMillis, TimeUnit.MILLISECONDS, services.scheduler())
                .flatMap(tick -> attempt());
    }

    /** Tells whether the error is not that of an attempt, so that a further one cannot help. */
    private static boolean isFinal(BronzewheelException error) {
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
        return services.retries().tryRetry(error.outcome(), repeatable, attempts, run, index);
    }
}
