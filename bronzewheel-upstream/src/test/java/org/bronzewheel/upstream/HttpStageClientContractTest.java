package org.bronzewheel.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.upstream.ScriptedServer.breakOff;
import static org.bronzewheel.upstream.ScriptedServer.hang;
import static org.bronzewheel.upstream.ScriptedServer.raw;
import static org.bronzewheel.upstream.ScriptedServer.rawThenClose;
import static org.bronzewheel.upstream.ScriptedServer.response;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.Usage;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class HttpStageClientContractTest {
    private static final UpstreamSettings SETTINGS = new UpstreamSettings(1_000, 8, 1_000, 2);
    private static final String ECHO = "X-Bronzewheel-Attempt: vm-1.10.1/0/1\r\n";
    private static final String BODY =
            "{\"attemptId\":\"vm-1.10.1/0/1\",\"output\":{\"a\":1},\"usage\":{\"workerMillis\":3}}";
    private static Vertx vertx;
    private static HttpClient http;

    private final List<String> leaving = new CopyOnWriteArrayList<>();
    private final HttpStageClient client =
            new HttpStageClient(http, SETTINGS, upstream -> leaving.add(upstream.name()));

    @BeforeAll
    static void open() {
        vertx = Vertx.vertx();
        http = HttpClients.create(vertx, SETTINGS);
    }

    @AfterAll
    static void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    record Fault(
            String name,
            ScriptedServer.Script script,
            boolean refusalProvesNotRun,
            ErrorCode code,
            Outcome outcome) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Fault> faults() {
        return Stream.of(
                unknown("resetBeforeHeaders", breakOff(), ErrorCode.UPSTREAM_BROKEN),
                unknown(
                        "resetWithinHeaders",
                        rawThenClose("HTTP/1.1 200 OK\r\nContent-"),
                        ErrorCode.UPSTREAM_BROKEN),
                invalid(
                        "truncatedBody",
                        rawThenClose("HTTP/1.1 200 OK\r\n" + ECHO + "Content-Length: 99\r\n\r\n{")),
                invalid(
                        "truncatedChunks",
                        rawThenClose(
                                "HTTP/1.1 200 OK\r\n"
                                        + ECHO
                                        + "Transfer-Encoding: chunked\r\n\r\n9\r\n{\"a\":")),
                invalid("notJson", raw(response(200, ECHO, "{\"attemptId\":"))),
                invalid("emptyBody", raw(response(200, ECHO, ""))),
                invalid("twoValues", raw(response(200, ECHO, BODY + BODY))),
                invalid("noEcho", raw(response(200, "", BODY))),
                invalid(
                        "echoOfAnotherAttempt",
                        raw(response(200, ECHO.replace("/0/1", "/0/2"), BODY))),
                invalid(
                        "bodyOfAnotherAttempt",
                        raw(response(200, ECHO, BODY.replace("/0/1", "/0/2")))),
                invalid("noOutput", raw(response(200, ECHO, BODY.replace("output", "other")))),
                invalid("tooLarge", raw(response(200, ECHO, " ".repeat(1_001)))),
                invalid("redirect", raw(response(302, "Location: /\r\n", ""))),
                new Fault(
                        "refusalWithPromise",
                        raw(response(503, "", "")),
                        true,
                        ErrorCode.UPSTREAM_REFUSED,
                        Outcome.NOT_RUN),
                unknown(
                        "refusalWithoutPromise",
                        raw(response(503, "", "")),
                        ErrorCode.UPSTREAM_REFUSED),
                failed("badRequest", raw(response(400, ECHO, "{}"))),
                failed("serverError", raw(response(500, ECHO, "{}"))));
    }

    private static Fault unknown(String name, ScriptedServer.Script script, ErrorCode code) {
        return new Fault(name, script, false, code, Outcome.UNKNOWN);
    }

    private static Fault invalid(String name, ScriptedServer.Script script) {
        return new Fault(name, script, true, ErrorCode.UPSTREAM_ANSWER_INVALID, Outcome.UNKNOWN);
    }

    private static Fault failed(String name, ScriptedServer.Script script) {
        return new Fault(name, script, true, ErrorCode.UPSTREAM_FAILED, Outcome.FAILED);
    }

    @ParameterizedTest
    @MethodSource("faults")
    void eachFaultEndsWithItsOutcome(Fault fault) {
        try (ScriptedServer server = new ScriptedServer(vertx, fault.script())) {
            StageCall call =
                    Calls.call(server.address(), PoolKind.ENCODER, fault.refusalProvesNotRun());

            BronzewheelException error = failure(call);

            assertThat(error.code()).isEqualTo(fault.code());
            assertThat(error.outcome()).isEqualTo(fault.outcome());
            assertThat(server.requests()).hasSize(1);
        }
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws IOException {
        String address;
        // A blocking socket stops listening at once, an NIO one only after its selector has run.
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + socket.getLocalPort();
        }

        BronzewheelException error = failure(Calls.call(address, PoolKind.ENCODER, false));

        assertThat(error.code()).isEqualTo(ErrorCode.UPSTREAM_REFUSED);
        assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void nothingLeavesWithoutThePermit() {
        try (ScriptedServer server = new ScriptedServer(vertx)) {
            SendPermit late =
                    () -> {
                        throw new BronzewheelException(ErrorCode.DEADLINE_EXCEEDED, "too late");
                    };

            BronzewheelException error =
                    failure(Calls.call(server.address(), PoolKind.ENCODER, false, late));

            assertThat(error.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
            assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(server.requests()).isEmpty();
        }
    }

    @Test
    void aWholeAnswerIsReadWithItsUsage() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(200, ECHO, BODY)))) {
            StageAnswer answer = answer(server, PoolKind.ENCODER);

            assertThat(answer.attemptId()).isEqualTo(Calls.ATTEMPT);
            assertThat(answer.output().toString()).isEqualTo("{\"a\":1}");
            assertThat(answer.usage()).isEqualTo(new Usage(0, 0, 3));
            assertThat(answer.leaving()).isFalse();
            assertThat(leaving).isEmpty();
        }
    }

    @Test
    void theRequestCarriesWhatThePageSays() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(200, ECHO, BODY)))) {
            client.call(Calls.call(server.address(), PoolKind.ENCODER, false), TokenListener.NONE)
                    .ignoreElement()
                    .blockingAwait();

            String request = server.requests().get(0);
            assertThat(request).startsWith("POST /v1/stage HTTP/1.1\r\n");
            assertThat(request).contains("X-Bronzewheel-Attempt: vm-1.10.1/0/1\r\n");
            assertThat(request).contains("X-Bronzewheel-Workspace: pilots\r\n");
            assertThat(request).contains("X-Bronzewheel-Priority: 2\r\n");
            assertThat(request).contains("X-Bronzewheel-Deadline-Millis: 1000\r\n");
            assertThat(request).contains("Idempotency-Key: key-1\r\n");
            assertThat(request).contains("traceparent: 00-1-2-01\r\n");
            assertThat(request).endsWith("\r\n\r\n{\"input\":\"hello\"}");
        }
    }

    @Test
    void aPlainServiceGetsItsPathAndAnswersWithAnyJson() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(200, ECHO, "[1,2]")))) {
            StageAnswer answer = answer(server, PoolKind.PLAIN_SERVICE);

            assertThat(answer.output().toString()).isEqualTo("[1,2]");
            assertThat(server.requests().get(0)).startsWith("POST /confirm HTTP/1.1\r\n");
        }
    }

    // MIXED (issue 64): a part of a number passed for the whole, as its end shows by its length
    // only.
    @Test
    void aNumberWithoutALengthIsNoWholeAnswer() {
        String cutOff = "HTTP/1.1 200 OK\r\n" + ECHO + "\r\n12";
        try (ScriptedServer server = new ScriptedServer(vertx, rawThenClose(cutOff))) {
            BronzewheelException error =
                    failure(Calls.call(server.address(), PoolKind.PLAIN_SERVICE, false));

            assertThat(error.code()).isEqualTo(ErrorCode.UPSTREAM_ANSWER_INVALID);
            assertThat(error.outcome()).isEqualTo(Outcome.UNKNOWN);
        }
    }

    @Test
    void aNumberWithALengthIsAWholeAnswer() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(200, ECHO, "120")))) {
            StageAnswer answer = answer(server, PoolKind.PLAIN_SERVICE);

            assertThat(answer.output().asInt()).isEqualTo(120);
        }
    }

    @ParameterizedTest
    @MethodSource("leavingAnswers")
    void anAnswerTellsThatItsUpstreamIsLeaving(String response) {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response))) {
            client.call(Calls.call(server.address(), PoolKind.ENCODER, false), TokenListener.NONE)
                    .ignoreElement()
                    .onErrorComplete()
                    .blockingAwait();

            assertThat(leaving).containsExactly("worker-1");
        }
    }

    static Stream<String> leavingAnswers() {
        String header = "X-Bronzewheel-Leaving: true\r\n";
        return Stream.of(response(200, ECHO + header, BODY), response(503, header, ""));
    }

    @Test
    void disposingCancelsAtTheUpstream() throws InterruptedException {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        ScriptedServer.Script first = socket -> arrived.countDown();
        ScriptedServer.Script second = socket -> cancelled.countDown();
        try (ScriptedServer server = new ScriptedServer(vertx, first, second)) {
            Disposable subscription =
                    client.call(
                                    Calls.call(server.address(), PoolKind.ENCODER, false),
                                    TokenListener.NONE)
                            .subscribe();
            assertThat(arrived.await(10, TimeUnit.SECONDS)).isTrue();

            subscription.dispose();

            assertThat(cancelled.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(server.requests().get(1))
                    .startsWith("DELETE /v1/stage/vm-1.10.1%2F0%2F1 HTTP/1.1\r\n");
        }
    }

    @Test
    void anAnsweredCallIsNotCancelled() {
        try (ScriptedServer server =
                new ScriptedServer(vertx, raw(response(200, ECHO, BODY)), hang())) {
            client.call(Calls.call(server.address(), PoolKind.ENCODER, false), TokenListener.NONE)
                    .test()
                    .awaitDone(10, TimeUnit.SECONDS)
                    .dispose();

            assertThat(server.requests()).hasSize(1);
        }
    }

    private StageAnswer answer(ScriptedServer server, PoolKind kind) {
        return client.call(Calls.call(server.address(), kind, false), TokenListener.NONE)
                .blockingGet();
    }

    private BronzewheelException failure(StageCall call) {
        return assertThrows(
                BronzewheelException.class,
                () -> client.call(call, TokenListener.NONE).blockingGet());
    }
}
