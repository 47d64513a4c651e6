package org.bronzewheel.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the limits of all connections of a server together. */
class ConnectionLimitsTest {
    private static final String HEAD = "POST %s HTTP/1.1\r\nHost: h\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String SHORT_FIELD = "a:\r\n";
    private static final int FIELDS = 1_000;
    private static final long HEAD_BYTES = 100_000;
    private static final long UNSENT_BYTES = 32 << 20;

    /** More than the buffers of a socket hold. */
    private static final int LARGE_BYTES = 8 << 20;

    private static final int READ_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Socket> sockets = new ArrayList<>();
    private final CountDownLatch held = new CountDownLatch(1);
    private ConnectionLimits limits;
    private HttpServer server;
    private volatile HttpServerRequest heldRequest;

    private void start(int maxConnections) {
        limits =
                new ConnectionLimits(
                        new OpenConnections(maxConnections),
                        new HeadMemory(HEAD_BYTES),
                        new UnsentMemory(UNSENT_BYTES),
                        new ReadTurns());
        server =
                StrictHttpServer.create(
                                vertx,
                                new HttpServerOptions().setMaxHeaderSize(1 << 20),
                                () -> new ConnectionTimeouts(60_000, 60_000),
                                limits,
                                this::handle)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/held")) {
            heldRequest = request;
            held.countDown();
            return;
        }
        if (request.path().equals("/large")) {
            request.response().end("y".repeat(LARGE_BYTES));
            return;
        }
        request.body().onSuccess(body -> request.response().end("got " + body.length()));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.actualPort());
        sockets.add(socket);
        socket.setSoTimeout(READ_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String receive(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended after " + head);
            }
            head.append((char) next);
        }
        String length = head.toString().replaceAll("(?s).*content-length: ([0-9]+).*", "$1");
        byte[] body = socket.getInputStream().readNBytes(Integer.parseInt(length));
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private static String call(Socket socket) throws IOException {
        send(socket, HEAD.formatted("/x") + NO_BODY);
        return receive(socket);
    }

    // A head of 16 KB became about a megabyte of objects, of which no limit knew.
    @Test
    void theConnectionWithTheLargestHeadIsClosedWhenThereIsNoMemoryForMore() throws Exception {
        start(10);
        Socket ordinary = connect();
        send(ordinary, HEAD.formatted("/x"));
        Socket large = connect();
        send(large, HEAD.formatted("/x") + SHORT_FIELD.repeat(FIELDS));
        assertThrows(IOException.class, () -> receive(large));
        send(ordinary, NO_BODY);
        assertThat(receive(ordinary)).isEqualTo("got 0");
        assertThat(limits.heads().closedConnections()).isEqualTo(1);
    }

    // Trailers are fields as well, but are sent after the head.
    @Test
    void theFieldsOfATrailerCount() throws Exception {
        start(10);
        Socket large = connect();
        send(large, HEAD.formatted("/x") + CHUNKED + "0\r\n" + SHORT_FIELD.repeat(FIELDS));
        assertThrows(IOException.class, () -> receive(large));
    }

    // Memory that is not released would make the server refuse everything after a while.
    @Test
    void theMemoryOfAHeadIsReleasedWithItsResponse() throws Exception {
        start(10);
        Socket socket = connect();
        for (int i = 0; i < FIELDS; i++) {
            assertThat(call(socket)).isEqualTo("got 0");
        }
        Socket left = connect();
        send(left, HEAD.formatted("/x") + SHORT_FIELD);
        left.close();
        assertThat(call(socket)).isEqualTo("got 0");
        assertThat(limits.heads().closedConnections()).isEqualTo(0);
    }

    // Without a limit, idle connections used up the descriptors.
    @Test
    void aNewConnectionTakesThePlaceOfTheUnusedOneThatHasBeenSilentForLongest() throws Exception {
        start(3);
        Socket answered = connect();
        assertThat(call(answered)).isEqualTo("got 0");
        Socket oldest = connect();
        Socket newer = connect();
        Socket newest = connect();
        assertThat(call(newest)).isEqualTo("got 0");
        assertThat(oldest.getInputStream().read()).isEqualTo(-1);
        assertThat(call(newer)).isEqualTo("got 0");
        assertThat(call(answered)).isEqualTo("got 0");
        assertThat(limits.connections().replaced()).isEqualTo(1);
    }

    // A request that may be running must keep its connection.
    @Test
    void aConnectionThatWaitsForItsResponseKeepsItsPlace() throws Exception {
        start(1);
        Socket waiting = connect();
        send(waiting, HEAD.formatted("/held") + NO_BODY);
        assertThat(held.await(READ_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(connect().getInputStream().read()).isEqualTo(-1);
        heldRequest.response().end("held");
        assertThat(receive(waiting)).isEqualTo("held");
        assertThat(limits.connections().refused()).isEqualTo(1);
    }

    // A connection that waits for its turn must be read again.
    @Test
    void aBodyInChunksOfOneByteIsReceivedInTurns() throws Exception {
        start(10);
        int chunks = 50_000;
        List<Socket> senders = List.of(connect(), connect(), connect());
        for (Socket sender : senders) {
            send(
                    sender,
                    HEAD.formatted("/x") + CHUNKED + "1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n");
        }
        for (Socket sender : senders) {
            assertThat(receive(sender)).isEqualTo("got " + chunks);
        }
        assertThat(limits.turns().delayedReads()).isGreaterThan(0);
    }

    // Requests that are held back while a response is sent must be handled afterwards.
    @Test
    void pipelinedRequestsAreAllAnswered() throws Exception {
        start(10);
        int requests = 20;
        Socket pipelining = connect();
        send(pipelining, (HEAD.formatted("/large") + NO_BODY).repeat(requests));
        for (int i = 0; i < requests; i++) {
            assertThat(receive(pipelining)).hasLength(LARGE_BYTES);
        }
        assertThat(limits.unsent().closedConnections()).isEqualTo(0);
    }

    // Answers that no caller read filled the memory, one on each of many connections.
    @Test
    void theConnectionThatHasSentNothingForLongestIsClosedAtTheLimit() throws Exception {
        start(100);
        for (int i = 0; i < 30; i++) {
            send(connect(), HEAD.formatted("/large") + NO_BODY);
        }
        Socket reading = connect();
        send(reading, HEAD.formatted("/large") + NO_BODY);
        assertThat(receive(reading)).hasLength(LARGE_BYTES);
        assertThat(limits.unsent().occupiedBytes()).isAtMost(UNSENT_BYTES);
        assertThat(limits.unsent().closedConnections()).isGreaterThan(0);
    }

    // A connection was closed in favor of a new one while its caller was still reading its
    // response.
    @Test
    void aConnectionWhoseResponseIsBeingSentGivesWayOnlyIfThereIsNoOther() throws Exception {
        start(2);
        Socket reading = connect();
        send(reading, HEAD.formatted("/large") + NO_BODY);
        assertThat(reading.getInputStream().read()).isEqualTo('H');
        Socket other = connect();
        assertThat(call(other)).isEqualTo("got 0");
        assertThat(call(connect())).isEqualTo("got 0");
        assertThat(other.getInputStream().read()).isEqualTo(-1);
        assertThat(receive(reading)).hasLength(LARGE_BYTES);
        assertThat(limits.connections().replaced()).isEqualTo(1);
    }

    // LOST: a request that was being served lost its connection to unfinished heads of others.
    @Test
    void aConnectionThatWaitsForItsResponseIsNotClosedForItsHeads() throws Exception {
        start(10);
        Socket waiting = connect();
        send(waiting, HEAD.formatted("/held") + SHORT_FIELD.repeat(FIELDS / 4) + NO_BODY);
        assertThat(held.await(READ_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        Socket unfinished = connect();
        send(unfinished, HEAD.formatted("/x") + SHORT_FIELD.repeat(FIELDS / 6));
        assertThrows(IOException.class, () -> receive(unfinished));
        heldRequest.response().end("held");
        assertThat(receive(waiting)).isEqualTo("held");
    }
}
