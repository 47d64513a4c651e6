package org.bronzewheel.frontdoor;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.execution.Bodies;
import org.bronzewheel.execution.DrainGate;
import org.bronzewheel.execution.PipelineRequest;
import org.bronzewheel.execution.ReadResult;
import org.bronzewheel.execution.RequestService;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Rules;

/** The routes for callers. */
final class CallerRoutes {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final JsonMapper MAPPER = new JsonMapper();

    private final RequestService requests;
    private final ConfigurationService configurations;
    private final RequestParser parser;
    private final DrainGate exchanges;
    private final Scheduler scheduler;

    CallerRoutes(
            RequestService requests,
            ConfigurationService configurations,
            RequestParser parser,
            DrainGate exchanges,
            Scheduler scheduler) {
        this.requests = requests;
        this.configurations = configurations;
        this.parser = parser;
        this.exchanges = exchanges;
        this.scheduler = scheduler;
    }

    void addTo(Router router) {
        router.post("/v1/pipelines/:pipeline").handler(this::submit);
        router.get("/v1/requests/:id").handler(this::show);
        router.get("/v1/requests/:id/stream").handler(this::stream);
        router.delete("/v1/requests/:id").handler(this::cancel);
    }

    private void submit(RoutingContext context) {
        CallerExchange exchange = CallerExchange.open(context.response(), exchanges);
        RequestId id = requests.nextId();
        LimitedBody.read(context.request(), maxBodyBytes())
                .onSuccess(body -> submit(context, exchange, id, body))
                .onFailure(error -> refuse(exchange.response(), id, error));
    }

    /** Ends an exchange whose body was not read whole; nothing more can follow on it. */
    private static void refuse(HttpServerResponse response, RequestId id, Throwable error) {
        response.putHeader("Connection", "close");
        Responses.problem(response, id, error);
    }

    private void submit(
            RoutingContext context, CallerExchange exchange, RequestId id, Buffer body) {
        PipelineRequest request;
        try {
            request =
                    parser.parse(context.pathParam("pipeline"), context.request().headers(), body);
        } catch (BronzewheelException e) {
            Responses.problem(exchange.response(), id, e);
            return;
        }
        exchange.onGone(() -> requests.callerGone(id, request));
        exchange.add(
                requests.submit(id, request)
                        .subscribe(
                                holder -> exchange.add(answer(exchange, id, holder, request)),
                                error -> Responses.problem(exchange.response(), id, error)));
    }

    private Disposable answer(
            CallerExchange exchange, RequestId own, RequestId holder, PipelineRequest request) {
        HttpServerResponse response = exchange.response();
        if (request.streamed()) {
            return follow(holder, 0, new EventStream(response)).subscribe();
        }
        Flowable<ReadResult> results = requests.follow(holder, ReadResult.NO_TOKENS);
        if (!own.equals(holder)) {
            results = withinDeadline(results, request);
        }
        return results.filter(ReadResult::ended)
                .subscribe(
                        result -> Responses.end(response, result.answer()),
                        error -> Responses.problem(response, holder, error));
    }

    /** Ends the wait for a request that another caller began at the own deadline. */
    private Flowable<ReadResult> withinDeadline(
            Flowable<ReadResult> results, PipelineRequest request) {
        Optional<RequestClass> requestClass =
                rules().flatMap(rules -> rules.requestClass(request.requestClass()));
        if (requestClass.isEmpty()) {
            return results;
        }
        return results.takeUntil(
                Flowable.timer(
                                requestClass.get().deadlineMillis(),
                                TimeUnit.MILLISECONDS,
                                scheduler)
                        .flatMap(tick -> Flowable.error(deadlineExceeded())));
    }

    private void show(RoutingContext context) {
        HttpServerResponse response = context.response();
        withId(
                context,
                id ->
                        requests.read(id, ReadResult.NO_TOKENS, 0)
                                .subscribe(
                                        result -> Responses.json(response, OK, state(id, result)),
                                        error -> Responses.problem(response, id, error)));
    }

    private static String state(RequestId id, ReadResult result) {
        ObjectNode body = MAPPER.createObjectNode().put("requestId", id.toString());
        if (!result.ended()) {
            return body.put("state", "RUNNING").toString();
        }
        StoredAnswer answer = result.answer();
        body.put("state", "ENDED");
        body.put("outcome", answer.outcome().name());
        body.put("httpStatus", answer.httpStatus());
        body.putRawValue("body", new com.fasterxml.jackson.databind.util.RawValue(answer.body()));
        return body.toString();
    }

    private void stream(RoutingContext context) {
        withId(context, id -> stream(context.response(), id, offset(context)));
    }

    /** Opens the stream once a first read has told that the request is known. */
    private Disposable stream(HttpServerResponse response, RequestId id, long offset) {
        return requests.read(id, ReadResult.NO_TOKENS, 0)
                .flatMapCompletable(known -> follow(id, offset, new EventStream(response)))
                .subscribe(() -> {}, error -> Responses.problem(response, id, error));
    }

    private Completable follow(RequestId id, long offset, EventStream stream) {
        stream.open(id);
        return requests.follow(id, offset)
                .concatMapCompletable(stream::write, 1)
                .doOnComplete(stream::end)
                .doOnError(error -> stream.fail(Bodies.problem(id, error)))
                .onErrorComplete();
    }

    private void cancel(RoutingContext context) {
        withId(
                context,
                id ->
                        requests.cancel(id)
                                .subscribe(
                                        running -> endWithCancellation(context, running),
                                        error -> Responses.problem(context.response(), id, error)));
    }

    private static void endWithCancellation(RoutingContext context, boolean running) {
        String body = MAPPER.createObjectNode().put("cancelled", running).toString();
        Responses.json(context.response(), running ? ACCEPTED : OK, body);
    }

    /** Acts on the request that the path names; its work ends where the caller goes. */
    /** Acts on the request that the path names; the work ends where the caller goes. */
    private void withId(RoutingContext context, Function<RequestId, Disposable> action) {
        CallerExchange exchange = CallerExchange.open(context.response(), exchanges);
        Optional<RequestId> id = RequestId.parse(context.pathParam("id"));
        if (id.isEmpty()) {
            Responses.problem(exchange.response(), requests.nextId(), noRequestId());
            return;
        }
        try {
            exchange.add(action.apply(id.get()));
        } catch (BronzewheelException e) {
            Responses.problem(exchange.response(), id.get(), e);
        }
    }

    private static BronzewheelException noRequestId() {
        return new BronzewheelException(ErrorCode.UNKNOWN_REQUEST, "the path names no request id");
    }

    private static long offset(RoutingContext context) {
        String text = context.request().getParam("offset", "0");
        try {
            long offset = Long.parseLong(text);
            if (offset >= 0 && offset != ReadResult.NO_TOKENS) {
                return offset;
            }
        } catch (NumberFormatException e) {
            // Told below like any other wrong offset.
        }
        throw new BronzewheelException(
                ErrorCode.MALFORMED_REQUEST, "offset is not a number from 0");
    }

    private int maxBodyBytes() {
        return rules().map(Rules::maxBodyBytes).orElse(DEFAULT_MAX_BODY_BYTES);
    }

    private Optional<Rules> rules() {
        return configurations.current().map(Configuration::rules);
    }

    private static BronzewheelException deadlineExceeded() {
        return new BronzewheelException(
                ErrorCode.DEADLINE_EXCEEDED,
                Outcome.UNKNOWN,
                "the deadline passed before the earlier send of the key ended",
                null);
    }
}
