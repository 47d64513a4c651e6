package org.bronzewheel.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.upstream.ScriptedServer.breakOff;
import static org.bronzewheel.upstream.ScriptedServer.raw;
import static org.bronzewheel.upstream.ScriptedServer.rawThenClose;
import static org.bronzewheel.upstream.ScriptedServer.response;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.List;
import java.util.stream.Stream;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PlatformClientContractTest {
    private static final String DOCUMENT =
            response(200, "", "{\"revision\":17,\"inventory\":\"a: 1\",\"rules\":\"b: 2\"}");
    private static Vertx vertx;
    private static HttpClient http;

    @BeforeAll
    static void open() {
        vertx = Vertx.vertx();
        http = HttpClients.create(vertx, UpstreamSettings.DEFAULT);
    }

    @AfterAll
    static void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static PlatformClient client(ScriptedServer server) {
        return new PlatformClient(http, server.address(), server.address());
    }

    @Test
    void aNewerDocumentIsRead() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(DOCUMENT))) {
            ConfigurationDocument document =
                    client(server).readConfiguration(16, 500).blockingGet();

            assertThat(document).isEqualTo(new ConfigurationDocument(17, "a: 1", "b: 2"));
            assertThat(server.requests().get(0))
                    .startsWith("GET /v1/configuration?after=16&waitMillis=500 HTTP/1.1\r\n");
        }
    }

    @Test
    void nothingNewerIsEmpty() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(304, "", "")))) {
            assertThat(client(server).readConfiguration(17, 0).isEmpty().blockingGet()).isTrue();
        }
    }

    @Test
    void aStaleReplicaIsEmpty() {
        try (ScriptedServer server = new ScriptedServer(vertx, raw(DOCUMENT))) {
            assertThat(client(server).readConfiguration(17, 0).isEmpty().blockingGet()).isTrue();
        }
    }

    @Test
    void theVmListIsReadInTheOrderOfItsIds() {
        String body =
                "{\"revision\":9,\"vms\":[{\"vmId\":\"vm-2\",\"role\":\"UPSTREAM\",\"state\":"
                        + "\"LEAVING\",\"failureDomain\":\"fd-1\"},{\"vmId\":\"vm-1\",\"role\":"
                        + "\"ROUTER\",\"state\":\"LIVE\",\"failureDomain\":\"fd-2\","
                        + "\"peerAddress\":\"10.0.0.1:81\",\"httpAddress\":\"10.0.0.1:80\"}]}";
        try (ScriptedServer server = new ScriptedServer(vertx, raw(response(200, "", body)))) {
            VmList list = client(server).readVmList(0, 0).blockingGet();

            Vm router =
                    new Vm(
                            "vm-1",
                            VmRole.ROUTER,
                            VmState.LIVE,
                            "fd-2",
                            "10.0.0.1:81",
                            "10.0.0.1:80");
            Vm upstream = new Vm("vm-2", VmRole.UPSTREAM, VmState.LEAVING, "fd-1", "", "");
            assertThat(list).isEqualTo(new VmList(9, List.of(router, upstream)));
        }
    }

    static Stream<ScriptedServer.Script> faults() {
        return Stream.of(
                breakOff(),
                raw(response(500, "", "")),
                raw(response(200, "", "{")),
                raw(response(200, "", "{\"inventory\":\"a\"}")),
                rawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{}"));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void eachFaultIsAnUnavailablePlatform(ScriptedServer.Script script) {
        try (ScriptedServer server = new ScriptedServer(vertx, script)) {
            BronzewheelException error =
                    assertThrows(
                            BronzewheelException.class,
                            () -> client(server).readConfiguration(0, 0).blockingGet());

            assertThat(error.code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
        }
    }

    record Order(OrderReply reply, ScriptedServer.Script script) {}

    static Stream<Order> orders() {
        return Stream.of(
                new Order(OrderReply.READY, raw(response(200, "", "{\"state\":\"READY\"}"))),
                new Order(OrderReply.LOADING, raw(response(200, "", "{\"state\":\"LOADING\"}"))),
                new Order(OrderReply.FENCED, raw(response(409, "", "{}"))),
                new Order(OrderReply.UNKNOWN, raw(response(500, "", "{}"))),
                new Order(OrderReply.UNKNOWN, breakOff()));
    }

    @ParameterizedTest
    @MethodSource("orders")
    void eachReplyToAnOrderIsToldApart(Order order) {
        try (ScriptedServer server = new ScriptedServer(vertx, order.script())) {
            Upstream engine = new Upstream("engine-1", "vm-9", server.address(), "fd-1");

            OrderReply reply =
                    new ControlClient(http)
                            .order(engine, 7, List.of(new ModelOrder("scribe", "2", List.of("x"))))
                            .blockingGet();

            assertThat(reply).isEqualTo(order.reply());
            assertThat(server.requests().get(0))
                    .endsWith(
                            "{\"fencingNumber\":7,\"models\":[{\"model\":\"scribe\","
                                    + "\"version\":\"2\",\"adapters\":[\"x\"]}]}");
        }
    }
}
