package org.bronzewheel.execution;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.logging.LogKeys;
import org.bronzewheel.request.Outcome;

/** The run of one request from its grant to the answer that is kept for its readers. */
final class RequestRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long MAX_COPY_MILLIS = 300;
    private static final long MIN_COPY_MILLIS = 50;

    private final ExecutionServices services;
    private final AnswerService answers;
    private final RunContext run;
    private final HeldRequest held;
    private final PipelineRun pipelineRun;
    private final Span span;
    private final CompletableSubject cancelled = CompletableSubject.create();
    private final long beginNanos;
    private ErrorCode code;

    RequestRun(
            ExecutionServices services,
            AnswerService answers,
            RunContext run,
            HeldRequest held,
            Span span) {
        this.services = services;
        this.answers = answers;
        this.run = run;
        this.held = held;
        this.span = span;
        this.pipelineRun = new PipelineRun(services, run, held);
        this.beginNanos = services.nanoClock().getAsLong();
    }

    /** Runs to the end; completes once the answer is there for readers, never with an error. */
    Completable start() {
        held.onCancel(() -> cancelled.onError(cancellation()));
        return pipelineRun
                .start()
                .map(answer -> Bodies.answer(run.id(), run.pipeline().name(), answer))
                .takeUntil(cancelled)
                .onErrorReturn(this::problem)
                .flatMap(this::keep)
                .doOnSuccess(this::end)
                .ignoreElement();
    }

    private StoredAnswer problem(Throwable error) {
        BronzewheelException known = Bodies.known(error);
        code = known.code();
        Outcome outcome = pipelineRun.ledger().outcomeWithoutAnswer();
        if (known.code() == ErrorCode.INTERNAL) {
            logger.atSevere()
                    .with(LogKeys.REQUEST_ID, run.id().toString())
                    .withCause(error)
                    .log("request failed inside the router");
        }
        return Bodies.problem(run.id(), known, outcome);
    }

    /** Copies the answer of a keyed request to peers before its caller is told. */
    private Single<StoredAnswer> keep(StoredAnswer answer) {
        if (!run.request().keyed()) {
            return Single.just(answer);
        }
        long timeoutMillis =
                Math.min(
                        MAX_COPY_MILLIS,
                        Math.max(MIN_COPY_MILLIS, run.deadline().remainingMillis()));
        return answers.store(answer, timeoutMillis)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, services.scheduler())
                .onErrorComplete()
                .andThen(Single.just(answer));
    }

    private void end(StoredAnswer answer) {
        long elapsedNanos = services.nanoClock().getAsLong() - beginNanos;
        services.metrics()
                .requestEnded(
                        run.requestClass().name(),
                        run.pipeline().name(),
                        answer.outcome(),
                        code,
                        elapsedNanos,
                        run.deadline().remainingNanos() >= 0);
        span.setAttribute("bronzewheel.outcome", answer.outcome().name());
        if (answer.outcome() != Outcome.ANSWERED) {
            span.setStatus(StatusCode.ERROR, String.valueOf(code));
        }
        span.end();
        held.end(answer);
    }

    private static BronzewheelException cancellation() {
        return new BronzewheelException(ErrorCode.CANCELLED, "the caller cancelled the request");
    }
}
