package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzewheel.request.Usage;

/** A stand-in for an upstream whose calls have one JSON answer each. */
abstract class CallStandIn extends UpstreamStandIn {
    private static final int FAILED = 500;
    private static final int MAX_KEPT_ANSWERS = 10_000;

    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, Answer> answers = new LinkedHashMap<>();
    private final KeyStore keys;

    CallStandIn(Vertx vertx, UpstreamSettings settings, Ledger ledger, KeyStore keys) {
        super(vertx, settings, ledger);
        this.keys = keys;
    }

    /** The whole answer to an attempt. */
    record Answer(String attemptId, JsonNode output, Usage usage) {}

    /** Computes the output; the path is that of the call. */
    abstract JsonNode output(String path, JsonNode input);

    /** Returns the body of an answer. */
    abstract Object body(Answer answer);

    @Override
    void addRoutes(Router router) {
        super.addRoutes(router);
        router.post("/*").handler(this::call);
    }

    private void call(RoutingContext context) {
        JsonNode input = PlatformStandIn.requireBody(context).path("input");
        CallHeaders headers = CallHeaders.of(context.request());
        if (input.isMissingNode() || headers.attemptId().isEmpty()) {
            answer(context, BAD_REQUEST, Map.of("error", "no input or no attempt id"));
            return;
        }
        Fate fate = drawFate();
        if (fate == Fate.REFUSE || isFull()) {
            refuse(context);
            return;
        }
        Call call = new Call(context, headers, input, fate);
        if (keys.isRepeated(call.key(), answer -> call.repeat(answer))) {
            return;
        }
        call.submit();
    }

    void cancel(RoutingContext context) {
        Call call;
        synchronized (calls) {
            call = calls.get(pathAfter(context, "/v1/stage/"));
        }
        boolean cancelled = call != null && call.cancel();
        answer(context, OK, Map.of("cancelled", cancelled));
    }

    private Answer otherAnswer(Answer own) {
        synchronized (answers) {
            return answers.values().stream()
                    .filter(a -> !a.attemptId().equals(own.attemptId()))
                    .reduce((first, second) -> second)
                    .orElse(new Answer("nobody.1.1/0/1", own.output(), own.usage()));
        }
    }

    private void keep(Answer answer) {
        synchronized (answers) {
            answers.put(answer.attemptId(), answer);
            if (answers.size() > MAX_KEPT_ANSWERS) {
                answers.remove(answers.keySet().iterator().next());
            }
        }
    }

    /** One call from its arrival to its answer. */
    private final class Call {
        private final RoutingContext context;
        private final CallHeaders headers;
        private final JsonNode input;
        private final Fate fate;
        private WorkQueue.Ticket ticket;
        private int run;
        private long startedAtMillis;
        private long timer;
        private boolean started;
        private boolean ended;

        Call(RoutingContext context, CallHeaders headers, JsonNode input, Fate fate) {
            this.context = context;
            this.headers = headers;
            this.input = input;
            this.fate = fate;
        }

        String key() {
            return headers.idempotencyKey().isEmpty()
                    ? ""
                    : headers.workspace() + '\n' + headers.idempotencyKey();
        }

        void submit() {
            synchronized (calls) {
                calls.put(headers.attemptId(), this);
            }
            ticket = queue().submit(headers.priority(), this::begin);
        }

        private void begin() {
            started = true;
            startedAtMillis = System.currentTimeMillis();
            run = startRun(headers, input);
            long workMillis = settings().workMillis() + delayMillis();
            timer = vertx().setTimer(Math.max(1, workMillis), id -> finish());
        }

        private void finish() {
            ended = true;
            long workerMillis = System.currentTimeMillis() - startedAtMillis;
            Usage usage = new Usage(0, 0, workerMillis);
            endRun(run, fate == Fate.FAIL ? RunState.FAILED : RunState.FINISHED, usage);
            forget();
            Answer answer =
                    new Answer(headers.attemptId(), output(context.request().path(), input), usage);
            keep(answer);
            keys.answered(key(), answer);
            queue().release();
            send(answer);
        }

        /** Answers a repeated key with the answer of its first call. */
        void repeat(Answer first) {
            send(new Answer(headers.attemptId(), first.output(), Usage.NONE));
        }

        private void send(Answer answer) {
            HttpServerResponse response = context.response();
            if (response.closed()) {
                return;
            }
            markLeaving(context);
            switch (fate) {
                case HANG, REFUSE -> {}
                case FAIL ->
                        StandInServer.answer(context, FAILED, Map.of("error", "planned failure"));
                case BREAK_AFTER_RUN -> response.reset();
                case TRUNCATE -> truncate(response, answer);
                case WRONG_ECHO -> sendWhole(response, otherAnswer(answer));
                case ANSWER -> sendWhole(response, answer);
            }
        }

        private void sendWhole(HttpServerResponse response, Answer answer) {
            response.putHeader(CallHeaders.ATTEMPT, answer.attemptId())
                    .putHeader("Content-Type", "application/json")
                    .end(json(body(answer)));
        }

        private void truncate(HttpServerResponse response, Answer answer) {
            String text = json(body(answer));
            response.putHeader(CallHeaders.ATTEMPT, answer.attemptId())
                    .putHeader("Content-Type", "application/json")
                    .putHeader("Content-Length", Integer.toString(text.length()))
                    .write(text.substring(0, text.length() / 2))
                    .onComplete(written -> response.reset());
        }

        /** Ends the call without a result; false where it has ended. */
        boolean cancel() {
            if (ended) {
                return false;
            }
            ended = true;
            forget();
            if (started) {
                vertx().cancelTimer(timer);
                long workerMillis = System.currentTimeMillis() - startedAtMillis;
                endRun(run, RunState.CANCELLED, new Usage(0, 0, workerMillis));
                queue().release();
            } else {
                queue().withdraw(ticket);
            }
            if (!context.response().closed()) {
                refuse(context);
            }
            return true;
        }

        private void forget() {
            synchronized (calls) {
                calls.remove(headers.attemptId(), this);
            }
        }
    }
}
