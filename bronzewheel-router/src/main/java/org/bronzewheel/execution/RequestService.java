package org.bronzewheel.execution;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.claim.ClaimDecision;
import org.bronzewheel.claim.ClaimRequest;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Rules;

/** The router's requests: taking them in, running them, reading and cancelling them. */
public final class RequestService {
    private static final long MAX_CLAIM_MILLIS = 2_000;
    private static final long DRAINING_RETRY_MILLIS = 100;
    private static final long NOT_READY_RETRY_MILLIS = 1_000;

    private final ExecutionServices services;
    private final ConfigurationService configurations;
    private final AnswerService answers;
    private final EntryCheck entryCheck;
    private final RequestTable table;
    private final RequestReader reader;
    private final PeerRequests peers;
    private final DrainGate gate;

    RequestService(
            ExecutionServices services,
            ConfigurationService configurations,
            AnswerService answers,
            EntryCheck entryCheck,
            RequestTable table,
            RequestReader reader,
            PeerRequests peers,
            DrainGate gate) {
        this.services = services;
        this.configurations = configurations;
        this.answers = answers;
        this.entryCheck = entryCheck;
        this.table = table;
        this.reader = reader;
        this.peers = peers;
        this.gate = gate;
    }

    /**
     * Draws the id of a new request.
     *
     * @return an id that names this router
     */
    public RequestId nextId() {
        return table.nextId();
    }

    /**
     * Returns the number of requests that this router holds and that have not ended.
     *
     * @return the number
     */
    public int runningCount() {
        return table.runningCount();
    }

    /**
     * Takes a request in: begins to run it, or joins an earlier send of the same key.
     *
     * @param id the id drawn for it
     * @param request what the caller asks for
     * @return the id of the request to read, or an error with outcome NOT_RUN
     */
    public Single<RequestId> submit(RequestId id, PipelineRequest request) {
        return Single.<RequestId>defer(
                        () -> {
                            if (!gate.tryEnter()) {
                                return Single.error(draining());
                            }
                            return Single.defer(() -> admit(id, request))
                                    .doOnError(e -> gate.exit());
                        })
                .doOnError(error -> countRefusal(request, error));
    }

    private void countRefusal(PipelineRequest request, Throwable error) {
        boolean known =
                configurations
                        .current()
                        .flatMap(c -> c.rules().requestClass(request.requestClass()))
                        .isPresent();
        services.metrics()
                .requestRefused(known ? request.requestClass() : "", Bodies.known(error).code());
    }

    private Single<RequestId> admit(RequestId id, PipelineRequest request) {
        RunContext run = context(id, request);
        entryCheck.check(run);
        Span span = services.tracing().begin("request", SpanKind.SERVER, request.trace());
        span.setAttribute("bronzewheel.request_id", id.toString());
        RunContext traced = withTrace(run, span);
        if (run.claim().isEmpty()) {
            return Single.just(begin(traced, span));
        }
        return services.claims()
                .claim(run.claim().get())
                .map(decision -> decide(decision, traced, span))
                .doOnError(error -> span.end());
    }

    private RequestId decide(ClaimDecision decision, RunContext run, Span span) {
        if (decision instanceof ClaimDecision.Refused refused) {
            services.metrics().claimDecided(refused.code().name());
            throw new RefusalException(
                    refused.code(), claimDetail(refused.code()), refused.retryAfterMillis());
        }
        if (decision instanceof ClaimDecision.HeldBy other) {
            services.metrics().claimDecided("HELD");
            span.setAttribute("bronzewheel.joined", other.requestId().toString());
            span.end();
            gate.exit();
            return other.requestId();
        }
        services.metrics().claimDecided("GRANTED");
        return begin(run, span);
    }

    private RequestId begin(RunContext run, Span span) {
        HeldRequest held = table.open(run.id());
        new RequestRun(services, answers, run, held, span)
                .start()
                .doOnComplete(
                        () -> {
                            table.close(held);
                            gate.exit();
                        })
                .subscribe();
        return run.id();
    }

    private RunContext context(RequestId id, PipelineRequest request) {
        Configuration configuration = configurations.current().orElseThrow(this::notReady);
        Pipeline pipeline =
                configuration
                        .rules()
                        .pipeline(request.pipeline())
                        .orElseThrow(() -> refusal(ErrorCode.UNKNOWN_PIPELINE, request.pipeline()));
        RequestClass requestClass =
                configuration
                        .rules()
                        .requestClass(request.requestClass())
                        .orElseThrow(
                                () ->
                                        refusal(
                                                ErrorCode.UNKNOWN_REQUEST_CLASS,
                                                request.requestClass()));
        if (configuration.inventory().workspace(request.workspace()).isEmpty()) {
            throw refusal(ErrorCode.UNKNOWN_WORKSPACE, request.workspace());
        }
        Deadline deadline = Deadline.after(requestClass.deadlineMillis(), services.nanoClock());
        return new RunContext(
                id,
                request,
                configuration,
                pipeline,
                requestClass,
                deadline,
                claim(id, request, requestClass, configuration.rules()),
                request.trace());
    }

    private Optional<ClaimRequest> claim(
            RequestId id, PipelineRequest request, RequestClass requestClass, Rules rules) {
        if (!request.keyed()) {
            return Optional.empty();
        }
        IdempotencyKey key = new IdempotencyKey(request.workspace(), request.idempotencyKey());
        if (key.isOlderThan(
                rules.retentionMillis(), services.scheduler().now(TimeUnit.MILLISECONDS))) {
            throw new RefusalException(
                    ErrorCode.KEY_EXPIRED, claimDetail(ErrorCode.KEY_EXPIRED), 0);
        }
        long waitMillis = Math.min(MAX_CLAIM_MILLIS, requestClass.deadlineMillis());
        return Optional.of(new ClaimRequest(key, id, request.fingerprint(), waitMillis));
    }

    private static RunContext withTrace(RunContext run, Span span) {
        return new RunContext(
                run.id(),
                run.request(),
                run.configuration(),
                run.pipeline(),
                run.requestClass(),
                run.deadline(),
                run.claim(),
                run.trace().with(span));
    }

    /**
     * Reads a request, wherever it is held.
     *
     * @param id the request
     * @param offset the token offset to read from, {@link ReadResult#NO_TOKENS} for the end only
     * @param waitMillis the longest wait for something new, in milliseconds
     * @return what there is, or an error with code UNKNOWN_REQUEST or PEER_UNREACHABLE
     */
    public Single<ReadResult> read(RequestId id, long offset, long waitMillis) {
        return reader.read(id, offset, waitMillis);
    }

    /**
     * Reads a request on until its end, wherever it is held.
     *
     * @param id the request
     * @param offset the token offset to read from, {@link ReadResult#NO_TOKENS} for the end only
     * @return results, the last one with the answer, or an error with code EARLIER_ATTEMPT_UNKNOWN
     *     where the holder and its answer are lost
     */
    public Flowable<ReadResult> follow(RequestId id, long offset) {
        return reader.follow(id, offset)
                .onErrorResumeNext(error -> Flowable.error(lost(id, error)));
    }

    /**
     * Cancels a request, wherever it is held.
     *
     * @param id the request
     * @return whether it was running, or an error with code UNKNOWN_REQUEST
     */
    public Single<Boolean> cancel(RequestId id) {
        if (table.isOwn(id)) {
            return Single.fromCallable(
                    () -> table.find(id).orElseThrow(() -> unknown(id)).cancel());
        }
        return peers.cancel(id).map(known -> known.orElseThrow(() -> unknown(id)));
    }

    /**
     * Takes note that the caller of an unkeyed request has gone without its answer; work that
     * nobody can read any more is cancelled where that does no harm.
     *
     * @param id the request
     * @param request what the caller asked for
     */
    public void callerGone(RequestId id, PipelineRequest request) {
        boolean idempotent =
                configurations
                        .current()
                        .flatMap(c -> c.rules().pipeline(request.pipeline()))
                        .map(Pipeline::idempotent)
                        .orElse(false);
        if (!request.keyed() && !request.streamed() && idempotent) {
            table.find(id).ifPresent(HeldRequest::cancel);
        }
    }

    private static BronzewheelException lost(RequestId id, Throwable error) {
        return new BronzewheelException(
                ErrorCode.EARLIER_ATTEMPT_UNKNOWN,
                Outcome.UNKNOWN,
                "request " + id + " holds the key and its answer cannot be reached",
                error);
    }

    /** Tells that nobody knows a request, which may well have run. */
    static BronzewheelException unknown(RequestId id) {
        return new BronzewheelException(
                ErrorCode.UNKNOWN_REQUEST, Outcome.UNKNOWN, "no router knows " + id, null);
    }

    private static BronzewheelException refusal(ErrorCode code, String name) {
        return new BronzewheelException(code, "'" + name + "' is not known");
    }

    private static RefusalException draining() {
        return new RefusalException(
                ErrorCode.DRAINING, "this router is stopping", DRAINING_RETRY_MILLIS);
    }

    private RefusalException notReady() {
        return new RefusalException(
                ErrorCode.NOT_READY,
                "this router has no configuration yet",
                NOT_READY_RETRY_MILLIS);
    }

    private static String claimDetail(ErrorCode code) {
        return switch (code) {
            case KEY_EXPIRED, KEY_NOT_REMEMBERED ->
                    "this attempt did not run; an earlier one may have";
            case KEY_REUSED -> "the key came before with another pipeline, class or body";
            case CLAIM_SPLIT -> "concurrent sends of the key split its votes; none ran";
            default -> "the key cannot be claimed now; this attempt did not run";
        };
    }
}
