package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.bronzewheel.frontdoor.FrontDoor;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class FrontDoorContractTest {
    private static final String BODY = "{\"input\":\"hello\"}";
    private static final JsonMapper MAPPER = new JsonMapper();

    private final Fixture fixture = new Fixture();
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = HttpClient.newHttpClient();
    private boolean ready = true;
    private FrontDoor frontDoor;

    @BeforeEach
    void open() {
        frontDoor =
                new FrontDoor(
                        vertx,
                        "127.0.0.1",
                        0,
                        fixture.requests,
                        fixture.fleet.configurations,
                        () -> ready,
                        () -> "{}",
                        new RouterMetrics(),
                        Tracing.create("vm-1", "fd-1", ""),
                        fixture.scheduler);
        frontDoor.start();
    }

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** A request that is refused, with the change that makes it wrong. */
    record Refused(
            String name, String path, List<String> headers, String body, int status, String code) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Refused body(String name, String body) {
        return new Refused(name, "encoding", headers(), body, 400, "MALFORMED_REQUEST");
    }

    private static Refused headers(String name, String code, int status, List<String> headers) {
        return new Refused(name, "encoding", headers, BODY, status, code);
    }

    private static List<String> headers(String... more) {
        List<String> headers =
                new ArrayList<>(
                        List.of(
                                "X-Bronzewheel-Workspace",
                                "pilots",
                                "X-Bronzewheel-Class",
                                "urgent"));
        headers.addAll(List.of(more));
        return headers;
    }

    static Stream<Refused> refusedRequests() {
        return Stream.of(
                body("emptyBody", ""),
                body("notJson", "{\"input\":"),
                body("twoValues", BODY + BODY),
                body("anArray", "[1]"),
                body("noInput", "{}"),
                body("unknownField", "{\"input\":1,\"other\":2}"),
                body("doubledField", "{\"input\":1,\"input\":2}"),
                headers(
                        "noWorkspace",
                        "MALFORMED_REQUEST",
                        400,
                        List.of("X-Bronzewheel-Class", "urgent")),
                headers(
                        "noClass",
                        "MALFORMED_REQUEST",
                        400,
                        List.of("X-Bronzewheel-Workspace", "pilots")),
                headers(
                        "twoClasses",
                        "MALFORMED_REQUEST",
                        400,
                        headers("X-Bronzewheel-Class", "relaxed")),
                headers(
                        "keyWithSpace",
                        "MALFORMED_REQUEST",
                        400,
                        headers("Idempotency-Key", "a b")),
                headers(
                        "longKey",
                        "MALFORMED_REQUEST",
                        400,
                        headers("Idempotency-Key", "a".repeat(129))),
                headers(
                        "twoKeys",
                        "MALFORMED_REQUEST",
                        400,
                        headers("Idempotency-Key", "a", "Idempotency-Key", "b")),
                headers(
                        "unknownClass",
                        "UNKNOWN_REQUEST_CLASS",
                        400,
                        List.of("X-Bronzewheel-Workspace", "pilots", "X-Bronzewheel-Class", "no")),
                headers(
                        "unknownWorkspace",
                        "UNKNOWN_WORKSPACE",
                        403,
                        List.of("X-Bronzewheel-Workspace", "no", "X-Bronzewheel-Class", "urgent")),
                new Refused("unknownPipeline", "no", headers(), BODY, 404, "UNKNOWN_PIPELINE"),
                new Refused(
                        "tooLarge",
                        "encoding",
                        headers(),
                        "{\"input\":\"" + "a".repeat(1 << 20) + "\"}",
                        413,
                        "REQUEST_TOO_LARGE"));
    }

    @ParameterizedTest
    @MethodSource("refusedRequests")
    void aRequestThatIsNotAsThePageSaysTouchesNothing(Refused refused) throws Exception {
        HttpResponse<String> response =
                send(request(refused.path(), refused.headers(), refused.body()));

        JsonNode problem = MAPPER.readTree(response.body());
        assertThat(response.statusCode()).isEqualTo(refused.status());
        assertThat(response.headers().firstValue("Content-Type").orElse(""))
                .isEqualTo("application/problem+json");
        assertThat(problem.path("code").asText()).isEqualTo(refused.code());
        assertThat(problem.path("outcome").asText()).isEqualTo("NOT_RUN");
        assertThat(problem.path("status").asInt()).isEqualTo(refused.status());
        assertThat(response.headers().firstValue("X-Bronzewheel-Request").orElse(""))
                .isEqualTo(problem.path("requestId").asText());
        assertThat(fixture.fleet.claims.requests).isEmpty();
        assertThat(fixture.client.calls).isEmpty();
    }

    @Test
    void anAnswerComesWholeWithItsRequestId() throws Exception {
        CompletableFuture<HttpResponse<String>> reply =
                http.sendAsync(
                        request("encoding", headers(), BODY), HttpResponse.BodyHandlers.ofString());
        awaitCall().answer("encoded");

        HttpResponse<String> response = reply.join();
        JsonNode body = MAPPER.readTree(response.body());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(body.path("answer").asText()).isEqualTo("encoded");
        assertThat(body.path("outcome").asText()).isEqualTo("ANSWERED");
        assertThat(response.headers().firstValue("X-Bronzewheel-Request").orElse(""))
                .isEqualTo(body.path("requestId").asText());
    }

    @Test
    void anEndedRequestIsShownWithTheBodyThatItsCallerGot() throws Exception {
        CompletableFuture<HttpResponse<String>> reply =
                http.sendAsync(
                        request("encoding", headers(), BODY), HttpResponse.BodyHandlers.ofString());
        FakeStageClient.Exchange call = awaitCall();
        String id = call.call.attemptId().requestId().toString();
        JsonNode running = MAPPER.readTree(get("/v1/requests/" + id).body());
        call.answer("encoded");
        JsonNode sent = MAPPER.readTree(reply.join().body());
        JsonNode ended = MAPPER.readTree(get("/v1/requests/" + id).body());

        assertThat(running.path("state").asText()).isEqualTo("RUNNING");
        assertThat(ended.path("state").asText()).isEqualTo("ENDED");
        assertThat(ended.path("outcome").asText()).isEqualTo("ANSWERED");
        assertThat(ended.path("httpStatus").asInt()).isEqualTo(200);
        assertThat(ended.path("body")).isEqualTo(sent);
    }

    @Test
    void aStreamHasItsEventsInOrderAndIsResumedAtAnOffset() throws Exception {
        CompletableFuture<HttpResponse<String>> reply =
                http.sendAsync(
                        request("briefing", headers("Accept", "text/event-stream"), BODY),
                        HttpResponse.BodyHandlers.ofString());
        awaitCall().answer("encoded");
        FakeStageClient.Exchange call = awaitCall(2);
        call.token(0, "a");
        call.token(1, "b");
        call.answer("ab");

        String stream = reply.join().body();
        String id = call.call.attemptId().requestId().toString();
        String resumed = get("/v1/requests/" + id + "/stream?offset=1").body();
        assertThat(stream).startsWith("event: accepted\ndata: {\"requestId\":\"" + id + "\"}\n\n");
        assertThat(stream).contains("event: token\nid: 0\ndata: {\"offset\":0,\"text\":\"a\"}\n\n");
        assertThat(stream).contains("event: token\nid: 1\ndata: {\"offset\":1,\"text\":\"b\"}\n\n");
        String answer = stream.substring(stream.indexOf("event: answer"));
        assertThat(answer).contains("\"answer\":\"ab\"");
        assertThat(resumed).doesNotContain("id: 0");
        assertThat(resumed).contains("id: 1");
        assertThat(resumed).endsWith(answer);
    }

    @Test
    void aRequestIsCancelledByItsId() throws Exception {
        CompletableFuture<HttpResponse<String>> reply =
                http.sendAsync(
                        request("voucher", headers(), BODY), HttpResponse.BodyHandlers.ofString());
        String id = awaitCall().call.attemptId().requestId().toString();

        assertThat(delete(id).statusCode()).isEqualTo(202);
        assertThat(MAPPER.readTree(reply.join().body()).path("code").asText())
                .isEqualTo("CANCELLED");
        assertThat(delete(id).statusCode()).isEqualTo(200);
    }

    @ParameterizedTest
    @MethodSource("unknownPaths")
    void anUnknownRequestIsNotFound(String path) throws Exception {
        CompletableFuture<HttpResponse<String>> reply =
                http.sendAsync(
                        HttpRequest.newBuilder(uri(path)).build(),
                        HttpResponse.BodyHandlers.ofString());

        assertThat(reply.join().statusCode()).isEqualTo(404);
    }

    @Test
    void anUnknownRequestMayHaveRun() throws Exception {
        JsonNode problem = MAPPER.readTree(get("/v1/requests/vm-1.10.zz").body());

        assertThat(problem.path("code").asText()).isEqualTo("UNKNOWN_REQUEST");
        assertThat(problem.path("outcome").asText()).isEqualTo("UNKNOWN");
    }

    static Stream<String> unknownPaths() {
        return Stream.of(
                "/v1/requests/vm-1.10.zz",
                "/v1/requests/vm-1.10.zz/stream",
                "/v1/requests/No%20id",
                "/v1/no");
    }

    @Test
    void aRefusalTellsWhenToComeBack() throws Exception {
        assertThat(fixture.execution.drain().blockingAwait(1, java.util.concurrent.TimeUnit.DAYS))
                .isTrue();

        HttpResponse<String> response = send(request("encoding", headers(), BODY));

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(MAPPER.readTree(response.body()).path("code").asText()).isEqualTo("DRAINING");
        assertThat(response.headers().firstValue("Retry-After").orElse("")).isEqualTo("1");
    }

    @Test
    void theBalancerSeesWhetherTheRouterIsReady() throws Exception {
        assertThat(get("/health/ready").statusCode()).isEqualTo(200);
        ready = false;
        assertThat(get("/health/ready").statusCode()).isEqualTo(503);
        assertThat(get("/health/live").statusCode()).isEqualTo(200);
    }

    private FakeStageClient.Exchange awaitCall() throws InterruptedException {
        return awaitCall(1);
    }

    /** Waits for the call of a number, counted from 1; it may be made by the server's thread. */
    private FakeStageClient.Exchange awaitCall(int number) throws InterruptedException {
        while (fixture.client.calls.size() < number) {
            Thread.sleep(1);
            fixture.scheduler.triggerActions();
        }
        return fixture.client.last();
    }

    private HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(uri(path)).build());
    }

    private HttpResponse<String> delete(String id) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(uri("/v1/requests/" + id)).DELETE().build());
    }

    private HttpResponse<String> send(HttpRequest request)
            throws IOException, InterruptedException {
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(String pipeline, List<String> headers, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri("/v1/pipelines/" + pipeline))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.size(); i += 2) {
            request.header(headers.get(i), headers.get(i + 1));
        }
        return request.build();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + frontDoor.port() + path);
    }
}
