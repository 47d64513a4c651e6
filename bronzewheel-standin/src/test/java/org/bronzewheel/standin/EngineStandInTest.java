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
import org.bronzewheel.inventory.ModelVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineStandInTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ATTEMPT = "vm-1.a.1/2/1";
    private static final String ATTEMPT_PATH = "/v1/completions/vm-1.a.1%2F2%2F1";
    private static final int MAX_TOKENS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final Ledger ledger = new Ledger();
    private EngineStandIn engine;
    private HttpCaller caller;

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    private void start(boolean checksFencing, long tokenMicros, int lossPercent) {
        EngineSettings settings =
                new EngineSettings(
                        UpstreamSettings.of("llm", "engine-1"),
                        List.of(new ModelVersion("m", "1", 0, List.of())),
                        checksFencing,
                        tokenMicros,
                        0,
                        0,
                        2,
                        0,
                        0,
                        lossPercent);
        engine = new EngineStandIn(vertx, settings, ledger);
        engine.start();
        caller = new HttpCaller(engine.address());
    }

    private static String body(String model, String prompt, String attemptId) {
        return """
        {"model":"%s","prompt":"%s","max_tokens":%d,"stream":true,"priority":0,"user":"w",
        "request_id":"%s"}\
        """
                .formatted(model, prompt, MAX_TOKENS, attemptId);
    }

    private HttpResponse<String> complete(String prompt) throws Exception {
        return caller.call("POST", "/v1/completions", body("m", prompt, ATTEMPT));
    }

    private static List<JsonNode> events(String stream) throws IOException {
        List<JsonNode> events = new ArrayList<>();
        for (String line : stream.lines().toList()) {
            if (line.startsWith("data: {")) {
                events.add(MAPPER.readTree(line.substring("data: ".length())));
            }
        }
        return events;
    }

    private static String text(String stream) throws IOException {
        StringBuilder text = new StringBuilder();
        events(stream).forEach(e -> text.append(e.at("/choices/0/text").asText()));
        return text.toString();
    }

    @Test
    void aStreamHasContiguousOffsetsUsageAndItsEndMarker() throws Exception {
        start(true, 1_000, 0);
        HttpResponse<String> response = complete("hello");
        List<String> tokens = ExpectedAnswers.tokens("m", "hello", MAX_TOKENS);
        assertThat(text(response.body())).isEqualTo(String.join("", tokens));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        List<JsonNode> events = events(response.body());
        assertThat(events.get(0).path("offset").asInt()).isEqualTo(0);
        JsonNode last = events.get(events.size() - 1);
        assertThat(last.path("id").asText()).isEqualTo(ATTEMPT);
        assertThat(last.path("offset").asInt()).isEqualTo(tokens.size());
        assertThat(last.at("/usage/completion_tokens").asInt()).isEqualTo(tokens.size());
        assertThat(last.at("/choices/0/finish_reason").asText())
                .isEqualTo(tokens.size() < MAX_TOKENS ? "stop" : "length");
        assertThat(ledger.runs().get(0).workspace()).isEqualTo("w");
    }

    @Test
    void aStreamIsResumedAtAnOffsetAndUnknownOnesAreNotFound() throws Exception {
        start(true, 1_000, 0);
        complete("hello");
        List<String> tokens = ExpectedAnswers.tokens("m", "hello", MAX_TOKENS);
        HttpResponse<String> rest = caller.call("GET", ATTEMPT_PATH + "?offset=3", "");
        assertThat(text(rest.body())).isEqualTo(String.join("", tokens.subList(3, tokens.size())));
        assertThat(events(rest.body()).get(0).path("offset").asInt()).isEqualTo(3);
        assertThat(caller.call("GET", "/v1/completions/other", "").statusCode()).isEqualTo(404);
        assertThat(ledger.runs()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"truncatePercent, false", "wrongEchoPercent, true"})
    void aFaultyStreamIsNotWholeOrNotOnesOwn(String field, boolean whole) throws Exception {
        start(true, 1_000, 0);
        caller.call("POST", "/v1/completions", body("m", "other", "vm-1.a.9/2/1"));
        caller.call("PUT", "/admin/faults", "{\"" + field + "\":100}");
        String stream = complete("hello").body();
        assertThat(stream.contains("[DONE]")).isEqualTo(whole);
        assertThat(stream.contains(ATTEMPT)).isEqualTo(!whole);
    }

    @Test
    void aStreamThatBreaksAfterItsRunCanBeResumed() throws Exception {
        start(true, 1_000, 0);
        engine.setFaults(Faults.NONE.withPercentages(0, 0, 100, 0, 0));
        assertThrows(IOException.class, () -> complete("hello"));
        assertThat(ledger.runs().get(0).state()).isEqualTo(RunState.FINISHED);
        HttpResponse<String> resumed = caller.call("GET", ATTEMPT_PATH + "?offset=0", "");
        assertThat(text(resumed.body()))
                .isEqualTo(String.join("", ExpectedAnswers.tokens("m", "hello", MAX_TOKENS)));
        assertThat(resumed.body()).contains("[DONE]");
        assertThat(ledger.runs()).hasSize(1);
    }

    @Test
    void aCancelledStreamBreaksAndItsRunIsCancelled() throws Exception {
        start(true, 10_000_000, 0);
        CompletableFuture<HttpResponse<String>> call =
                caller.start("POST", "/v1/completions", body("m", "hello", ATTEMPT));
        while (ledger.runs().isEmpty()) {
            Thread.onSpinWait();
        }
        JsonNode answer = caller.json("DELETE", ATTEMPT_PATH, "");
        assertThat(answer.path("cancelled").asBoolean()).isTrue();
        assertThrows(Exception.class, call::get);
        assertThat(ledger.runs().get(0).state()).isEqualTo(RunState.CANCELLED);
        assertThat(caller.json("DELETE", ATTEMPT_PATH, "").path("cancelled").asBoolean()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"true, 409, 7", "false, 200, 3"})
    void anOldFencingNumberIsRefusedWhereItIsChecked(
            boolean checksFencing, int status, long fencingNumber) throws Exception {
        start(checksFencing, 1_000, 0);
        String order =
                "{\"fencingNumber\":%d,\"models\":[{\"model\":\"m2\",\"version\":\"1\","
                        + "\"adapters\":[]}]}";
        assertThat(caller.call("POST", "/v1/orders", order.formatted(7)).statusCode())
                .isEqualTo(200);
        assertThat(caller.call("POST", "/v1/orders", order.formatted(3)).statusCode())
                .isEqualTo(status);
        JsonNode models = caller.json("GET", "/v1/models", "");
        assertThat(models.path("fencingNumber").asLong()).isEqualTo(fencingNumber);
        assertThat(models.at("/models/0/model").asText()).isEqualTo("m2");
        assertThat(models.at("/models/0/state").asText()).isEqualTo("READY");
        assertThat(complete("hello").statusCode()).isEqualTo(503);
    }

    @ParameterizedTest
    @CsvSource({"0, false, 6", "100, false, 0"})
    void cacheEventsTellWhatWasStoredAndEvicted(int lossPercent, boolean gap, int count)
            throws Exception {
        start(true, 1_000, lossPercent);
        String first = "a".repeat(512);
        complete(first);
        complete("b".repeat(256));
        complete(first.substring(0, 256));
        JsonNode found = caller.json("GET", "/v1/cache-events?after=0", "");
        assertThat(found.path("gap").asBoolean()).isEqualTo(gap);
        assertThat(found.path("events")).hasSize(count);
        if (count > 0) {
            assertThat(found.at("/events/3/kind").asText()).isEqualTo("EVICTED");
            assertThat(found.at("/events/0/prefixHash").asText())
                    .isEqualTo(ExpectedAnswers.prefixHash("a".repeat(256)));
        }
    }

    @Test
    void aLostCacheEventIsAGap() {
        PrefixCache cache = new PrefixCache(100, 0, 50, 1);
        for (int i = 0; i < 40; i++) {
            cache.read(Integer.toString(i).repeat(256), 0);
        }
        PrefixCache.Events events = cache.after(0, 1);
        assertThat(events.gap()).isTrue();
        assertThat(events.events().size()).isLessThan(40);
    }

    @Test
    void aCachedPrefixMakesAPromptCheaper() {
        PrefixCache cache = new PrefixCache(2, 0, 0, 1);
        assertThat(cache.read("a".repeat(300), 0)).isEqualTo(0);
        assertThat(cache.read("a".repeat(300), 0)).isEqualTo(64);
    }
}
