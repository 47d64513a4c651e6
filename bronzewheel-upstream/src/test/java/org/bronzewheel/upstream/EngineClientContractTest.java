package org.bronzewheel.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.upstream.ScriptedServer.breakOff;
import static org.bronzewheel.upstream.ScriptedServer.raw;
import static org.bronzewheel.upstream.ScriptedServer.rawThenClose;
import static org.bronzewheel.upstream.ScriptedServer.response;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
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

class EngineClientContractTest {
    private static final UpstreamSettings SETTINGS = new UpstreamSettings(1_000, 8, 1_000, 2);
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    private static final String FINISH =
            "data:"
                + " {\"id\":\"vm-1.10.1/0/1\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"offset\":3,\"tokens\":0,\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":3,\"worker_millis\":7}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static Vertx vertx;
    private static HttpClient http;

    private final List<String> tokens = new ArrayList<>();
    private final EngineClient client = new EngineClient(http, SETTINGS, LeavingListener.NONE);

    @BeforeAll
    static void open() {
        vertx = Vertx.vertx();
        http = HttpClients.create(vertx, SETTINGS);
    }

    @AfterAll
    static void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static String piece(int offset, String text) {
        return piece("vm-1.10.1/0/1", offset, text, 1);
    }

    private static String piece(String id, int offset, String text, int count) {
        return "data: {\"id\":\""
                + id
                + "\",\"choices\":[{\"index\":0,\"text\":\""
                + text
                + "\",\"finish_reason\":null}],\"offset\":"
                + offset
                + (count > 0 ? ",\"tokens\":" + count : "")
                + "}\n\n";
    }

    private static String whole() {
        return HEAD + piece(0, "a") + piece(1, "b") + piece(2, "c") + FINISH + DONE;
    }

    record Recovery(String name, List<ScriptedServer.Script> scripts) {
        static Recovery of(String name, ScriptedServer.Script... scripts) {
            return new Recovery(name, List.of(scripts));
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Recovery> recoveries() {
        String rest = HEAD + piece(1, "b") + piece(2, "c") + FINISH + DONE;
        return Stream.of(
                Recovery.of("nothingHappens", rawThenClose(whole())),
                Recovery.of(
                        "cutAfterAPiece", rawThenClose(HEAD + piece(0, "a")), rawThenClose(rest)),
                Recovery.of(
                        "cutWithinAnEvent",
                        rawThenClose(HEAD + piece(0, "a") + "data: {\"id\":"),
                        rawThenClose(rest)),
                Recovery.of(
                        "cutBeforeDone",
                        rawThenClose(whole().replace(DONE, "")),
                        rawThenClose(HEAD + FINISH + DONE)),
                Recovery.of(
                        "cutTwice",
                        rawThenClose(HEAD + piece(0, "a")),
                        rawThenClose(HEAD + piece(1, "b")),
                        rawThenClose(HEAD + piece(2, "c") + FINISH + DONE)),
                Recovery.of(
                        "resumeBreaksOnce",
                        rawThenClose(HEAD + piece(0, "a")),
                        breakOff(),
                        rawThenClose(rest)),
                Recovery.of(
                        "doubledPiece",
                        rawThenClose(
                                HEAD + piece(0, "a") + piece(0, "a") + rest.replace(HEAD, ""))),
                Recovery.of(
                        "missingPiece",
                        rawThenClose(HEAD + piece(0, "a") + piece(2, "c") + FINISH + DONE),
                        rawThenClose(rest)),
                Recovery.of(
                        "piecesWithoutCount",
                        rawThenClose(
                                HEAD
                                        + piece("vm-1.10.1/0/1", 0, "ab", 0)
                                        + piece("vm-1.10.1/0/1", 2, "c", 0)
                                        + FINISH
                                        + DONE)));
    }

    @ParameterizedTest
    @MethodSource("recoveries")
    void eachTokenComesOnceAndInOrder(Recovery recovery) {
        try (ScriptedServer server = new ScriptedServer(vertx, recovery.scripts())) {
            StageAnswer answer = client.call(call(server), this::token).blockingGet();

            assertThat(answer.output().path("text").asText()).isEqualTo("abc");
            assertThat(String.join("", tokens)).isEqualTo("abc");
            assertThat(answer.usage()).isEqualTo(new Usage(5, 3, 7));
            assertThat(server.requests()).hasSize(recovery.scripts().size());
        }
    }

    @Test
    void aBrokenStreamIsResumedAtItsOffset() {
        try (ScriptedServer server =
                new ScriptedServer(
                        vertx,
                        rawThenClose(HEAD + piece(0, "a") + piece(1, "b")),
                        rawThenClose(HEAD + piece(2, "c") + FINISH + DONE))) {
            client.call(call(server), this::token).ignoreElement().blockingAwait();

            assertThat(server.requests().get(1))
                    .startsWith("GET /v1/completions/vm-1.10.1%2F0%2F1?offset=2 HTTP/1.1\r\n");
        }
    }

    record Fault(
            String name, ErrorCode code, Outcome outcome, List<ScriptedServer.Script> scripts) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Fault> faults() {
        return Stream.of(
                invalid("neverDone", alwaysCut()),
                invalid("doneWithoutFinish", rawThenClose(HEAD + piece(0, "a") + DONE)),
                invalid("notJson", rawThenClose(HEAD + "data: {\n\n")),
                invalid("noOffset", rawThenClose(HEAD + "data: {\"id\":\"vm-1.10.1/0/1\"}\n\n")),
                invalid(
                        "anotherAttempt",
                        rawThenClose(HEAD + piece("vm-1.10.1/0/2", 0, "a", 1) + FINISH + DONE)),
                invalid("tooLong", rawThenClose(HEAD + piece(0, "a".repeat(1_001)))),
                invalid("endlessLine", rawThenClose(HEAD + "data: " + "a".repeat(70_000))),
                invalid(
                        "cutAfterAPieceWithoutCount",
                        rawThenClose(HEAD + piece("vm-1.10.1/0/1", 0, "ab", 0))),
                broken("resetBeforeHeaders", breakOff()),
                broken(
                        "forgottenAtResume",
                        rawThenClose(HEAD + piece(0, "a")),
                        raw(response(404, "", "{}"))),
                new Fault(
                        "refused",
                        ErrorCode.UPSTREAM_REFUSED,
                        Outcome.UNKNOWN,
                        List.of(raw(response(503, "", "")))),
                new Fault(
                        "failed",
                        ErrorCode.UPSTREAM_FAILED,
                        Outcome.FAILED,
                        List.of(raw(response(500, "", "")))));
    }

    private static ScriptedServer.Script[] alwaysCut() {
        return new ScriptedServer.Script[] {
            rawThenClose(HEAD + piece(0, "a")), rawThenClose(HEAD), rawThenClose(HEAD)
        };
    }

    private static Fault invalid(String name, ScriptedServer.Script... scripts) {
        return new Fault(
                name, ErrorCode.UPSTREAM_ANSWER_INVALID, Outcome.UNKNOWN, List.of(scripts));
    }

    private static Fault broken(String name, ScriptedServer.Script... scripts) {
        return new Fault(name, ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN, List.of(scripts));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void eachFaultEndsWithItsOutcome(Fault fault) {
        try (ScriptedServer server = new ScriptedServer(vertx, fault.scripts())) {
            BronzewheelException error =
                    assertThrows(
                            BronzewheelException.class,
                            () -> client.call(call(server), this::token).blockingGet());

            assertThat(error.code()).isEqualTo(fault.code());
            assertThat(error.outcome()).isEqualTo(fault.outcome());
            assertThat(server.requests()).hasSize(fault.scripts().size());
        }
    }

    @Test
    void theRequestCarriesWhatThePageSays() {
        try (ScriptedServer server = new ScriptedServer(vertx, rawThenClose(whole()))) {
            client.call(call(server), this::token).ignoreElement().blockingAwait();

            String request = server.requests().get(0);
            assertThat(request).startsWith("POST /v1/completions HTTP/1.1\r\n");
            assertThat(request).contains("X-Bronzewheel-Attempt: vm-1.10.1/0/1\r\n");
            assertThat(request)
                    .endsWith(
                            "{\"model\":\"scribe\",\"prompt\":\"hello\",\"max_tokens\":16,"
                                    + "\"stream\":true,\"priority\":2,\"user\":\"pilots\","
                                    + "\"request_id\":\"vm-1.10.1/0/1\"}");
        }
    }

    private StageCall call(ScriptedServer server) {
        return Calls.call(server.address(), PoolKind.MODEL_ENGINE, false);
    }

    private void token(long offset, long count, String text) {
        tokens.add(text);
    }
}
