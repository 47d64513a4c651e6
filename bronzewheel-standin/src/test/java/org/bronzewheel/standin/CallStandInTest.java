package org.bronzewheel.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bronzewheel.inventory.PoolKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallStandInTest {
    private static final String INPUT = "{\"nonce\":\"n1\",\"topic\":\"wind\"}";
    private static final String BODY = "{\"input\":" + INPUT + "}";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx vertx = Vertx.vertx();
    private final Ledger ledger = new Ledger();
    private UpstreamStandIn standIn;
    private HttpCaller caller;

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    private void startStagePool(UpstreamSettings settings) {
        start(new StagePoolStandIn(vertx, settings, PoolKind.RETRIEVER, ledger));
    }

    private void start(UpstreamStandIn started) {
        standIn = started;
        standIn.start();
        caller = new HttpCaller(standIn.address());
    }

    private static UpstreamSettings settings() {
        return UpstreamSettings.of("retrievers", "retriever-1");
    }

    private HttpResponse<String> stage(String attemptId) throws Exception {
        return caller.call("POST", "/v1/stage", BODY, "X-Bronzewheel-Attempt", attemptId);
    }

    @Test
    void anAnswerEchoesTheAttemptAndCarriesTheNonce() throws Exception {
        startStagePool(settings());
        HttpResponse<String> response = stage("vm-1.a.1/0/1");
        JsonNode body = MAPPER.readTree(response.body());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("X-Bronzewheel-Attempt")).hasValue("vm-1.a.1/0/1");
        assertThat(body.path("attemptId").asText()).isEqualTo("vm-1.a.1/0/1");
        assertThat(body.path("output"))
                .isEqualTo(ExpectedAnswers.stageOutput(PoolKind.RETRIEVER, MAPPER.readTree(INPUT)));
        assertThat(body.at("/output/nonce").asText()).isEqualTo("n1");
        assertThat(body.at("/usage/workerMillis").asLong()).isGreaterThan(0);
        Run run = ledger.runs().get(0);
        assertThat(run.requestId()).isEqualTo("vm-1.a.1");
        assertThat(run.nonce()).isEqualTo("n1");
        assertThat(run.state()).isEqualTo(RunState.FINISHED);
    }

    @ParameterizedTest
    @CsvSource({
        "refusePercent, 503, 0, FINISHED",
        "failPercent, 500, 1, FAILED",
        "wrongEchoPercent, 200, 1, FINISHED",
        "breakAfterRunPercent, 0, 1, FINISHED",
        "truncatePercent, 0, 1, FINISHED",
    })
    void aFaultSwitchDecidesWhatTheCallerAndTheLedgerSee(
            String field, int status, int runs, RunState state) throws Exception {
        startStagePool(settings());
        caller.call("PUT", "/admin/faults", "{\"" + field + "\":100}");
        if (status == 0) {
            assertThrows(IOException.class, () -> stage("vm-1.a.1/0/1"));
        } else {
            HttpResponse<String> response = stage("vm-1.a.1/0/1");
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(response.body()).doesNotContain("vm-1.a.1/0/1");
        }
        JsonNode recorded = caller.json("GET", "/admin/ledger", "").path("runs");
        assertThat(recorded).hasSize(runs);
        recorded.forEach(r -> assertThat(r.path("state").asText()).isEqualTo(state.name()));
    }

    @Test
    void aLeavingUpstreamSaysSoOnEachAnswer() throws Exception {
        startStagePool(settings());
        standIn.setFaults(Faults.NONE.withLeaving(true));
        assertThat(stage("vm-1.a.1/0/1").headers().firstValue("X-Bronzewheel-Leaving"))
                .hasValue("true");
        assertThat(ledger.runs().get(0).whileLeaving()).isTrue();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{}|a/0/1", "{\"input\":1}|''", "no json|a/0/1", "[1]|a/0/1"})
    void aMalformedCallGets400AndDoesNotRun(String body, String attemptId) throws Exception {
        startStagePool(settings());
        HttpResponse<String> response =
                caller.call("POST", "/v1/stage", body, "X-Bronzewheel-Attempt", attemptId);
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(ledger.runs()).isEmpty();
    }

    @Test
    void aCancelledCallEndsInTheLedgerAndASecondCancelSaysFalse() throws Exception {
        startStagePool(settings().withCapacity(1, 10, 60_000));
        CompletableFuture<HttpResponse<String>> call =
                caller.start("POST", "/v1/stage", BODY, "X-Bronzewheel-Attempt", "vm-1.a.1/0/1");
        while (ledger.runs().isEmpty()) {
            Thread.onSpinWait();
        }
        String path = "/v1/stage/vm-1.a.1%2F0%2F1";
        assertThat(caller.json("DELETE", path, "").path("cancelled").asBoolean()).isTrue();
        assertThat(call.get().statusCode()).isEqualTo(503);
        assertThat(ledger.runs().get(0).state()).isEqualTo(RunState.CANCELLED);
        assertThat(caller.json("DELETE", path, "").path("cancelled").asBoolean()).isFalse();
    }

    @Test
    void aFullQueueRefusesAndReportsItsLoadLater() throws Exception {
        startStagePool(settings().withCapacity(1, 1, 60_000));
        List<CompletableFuture<HttpResponse<String>>> waiting = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            waiting.add(
                    caller.start(
                            "POST",
                            "/v1/stage",
                            BODY,
                            "X-Bronzewheel-Attempt",
                            "vm-1.a." + i + "/0/1"));
        }
        JsonNode load = caller.json("GET", "/v1/load", "");
        long firstSequence = load.path("sequence").asLong();
        while (load.path("queued").asInt() < 1) {
            load = caller.json("GET", "/v1/load", "");
        }
        assertThat(load.path("inFlight").asInt()).isEqualTo(1);
        assertThat(load.path("sequence").asLong()).isGreaterThan(firstSequence);
        assertThat(stage("vm-1.a.3/0/1").statusCode()).isEqualTo(503);
        waiting.forEach(call -> assertThat(call.isDone()).isFalse());
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void aServiceThatChecksKeysRunsARepeatedKeyOnce(boolean checksKeys, int runs) throws Exception {
        start(new PlainServiceStandIn(vertx, settings(), checksKeys, ledger));
        String[] headers = {
            "X-Bronzewheel-Attempt",
            "vm-1.a.1/0/1",
            "X-Bronzewheel-Workspace",
            "w",
            "Idempotency-Key",
            "k"
        };
        CompletableFuture<HttpResponse<String>> first =
                caller.start("POST", "/book", BODY, headers);
        CompletableFuture<HttpResponse<String>> second =
                caller.start("POST", "/book", BODY, headers);
        assertThat(first.get().statusCode()).isEqualTo(200);
        assertThat(first.get().body()).isEqualTo(second.get().body());
        assertThat(MAPPER.readTree(first.get().body()).path("service").asText()).isEqualTo("/book");
        assertThat(ledger.runs()).hasSize(runs);
    }
}
