package org.bronzewheel.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends raw requests with valid and ambiguous framing, each followed by a smuggled request. */
class StrictHttpServerTest {
    private static final String REQUEST_START = "POST /x HTTP/1.1\r\nHost: h\r\n";
    private static final String SMUGGLED =
            "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private static final int READ_MILLIS = 10_000;
    private static final long IDLE_MILLIS = 200;
    private static final long SLOW_MILLIS = 2_500;
    private static final long STALL_MILLIS = 600;

    private final List<String> handledPaths = new CopyOnWriteArrayList<>();
    private Vertx vertx;
    private HttpServer server;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        server =
                StrictHttpServer.create(
                                vertx,
                                new HttpServerOptions().setIdleTimeout(1),
                                () -> IDLE_MILLIS,
                                request -> {
                                    handledPaths.add(request.path());
                                    if (request.path().equals("/closing")) {
                                        request.response().putHeader("Connection", "close");
                                    }
                                    if (request.path().equals("/slow")) {
                                        vertx.setTimer(
                                                SLOW_MILLIS, t -> request.response().end("taken"));
                                        return;
                                    }
                                    if (request.path().equals("/stall")) {
                                        stall();
                                    }
                                    request.response().end("taken");
                                })
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
                "Content-Length: 0\r\nContent-Length: 5\r\n\r\n",
                "Content-Length: 0, 5\r\n\r\n",
                "Content-Length: +0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "Content-Length : 0\r\n\r\n",
                "Host: other\r\nContent-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked\n\n0\n\n"
            })
    void ambiguousFramingGetsOneResponseAndClosesTheConnection(String framing) throws IOException {
        String responses = exchange(REQUEST_START + framing + SMUGGLED);
        assertWithMessage(responses).that(responses.split("HTTP/1.1 ", -1)).hasLength(2);
        assertThat(handledPaths).doesNotContain("/hidden");
    }

    @Test
    void pipelinedRequestsWithValidFramingAreHandledInOrder() throws IOException {
        exchange(REQUEST_START + "Content-Length: 2\r\n\r\nab" + SMUGGLED);
        assertThat(handledPaths).containsExactly("/x", "/hidden").inOrder();
    }

    @Test
    void requestsAfterAClosingResponseAreNotHandled() throws IOException {
        exchange("POST /closing HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + SMUGGLED);
        assertThat(handledPaths).containsExactly("/closing");
    }

    // LOST: requests that took longer than the idle timeout were cut off without an answer.
    @Test
    void aRequestThatTakesLongerThanTheIdleTimeoutIsAnswered() throws IOException {
        String responses = exchange("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        assertThat(responses).startsWith("HTTP/1.1 200");
        assertThat(responses).endsWith("taken");
    }

    @Test
    void aConnectionThatIsIdleAfterAResponseIsClosed() throws IOException {
        String responses = exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        assertThat(responses).endsWith("taken");
    }

    @Test
    void aConnectionWithoutAWholeRequestHeadIsClosed() throws IOException {
        assertThat(exchange("POST /x HTTP/1.1\r\nHost:")).isEmpty();
    }

    // LOST: while the loop read a large configuration, a request came in time and was never read.
    @Test
    void aRequestThatArrivesDuringAStallBeforeTheIdleTimeoutIsAnswered() throws Exception {
        String request = REQUEST_START + "Content-Length: 0\r\n\r\n";
        try (Socket kept = connect();
                Socket stalling = connect()) {
            write(kept, request);
            assertThat(kept.getInputStream().read(new byte[4_096])).isGreaterThan(0);
            write(stalling, request.replace("/x", "/stall"));
            Thread.sleep(IDLE_MILLIS / 2);
            write(kept, request);
            byte[] response = new byte[12];
            int length = kept.getInputStream().readNBytes(response, 0, response.length);
            assertThat(new String(response, 0, length, StandardCharsets.ISO_8859_1))
                    .isEqualTo("HTTP/1.1 200");
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.actualPort());
        socket.setSoTimeout(READ_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void stall() {
        try {
            Thread.sleep(STALL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String exchange(String bytes) throws IOException {
        StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            byte[] buffer = new byte[4_096];
            int length = socket.getInputStream().read(buffer);
            while (length >= 0) {
                received.append(new String(buffer, 0, length, StandardCharsets.ISO_8859_1));
                length = socket.getInputStream().read(buffer);
            }
        } catch (SocketException e) {
            assertThat(e).hasMessageThat().contains("reset");
        }
        return received.toString();
    }
}
