package org.bronzewheel.transport;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Contract tests of {@link PeerTransport} on loopback sockets. */
class PeerTransportContractTest {
    private static final long RECEIVE_TIMEOUT_SECONDS = 20;
    private static final long LONG_CALL_MILLIS = 10_000;
    private static final long SHORT_CALL_MILLIS = 200;
    private static final TransportSettings SETTINGS =
            new TransportSettings(64 << 10, 256 << 10, 1_000, 10, 50, 100, 60_000, 1);

    private final Map<String, InetSocketAddress> directory = new ConcurrentHashMap<>();
    private final List<NettyPeerTransport> running = new ArrayList<>();

    @AfterEach
    void stopAll() {
        running.forEach(NettyPeerTransport::stop);
    }

    record FaultCase(
            String name,
            ScriptedPeer.Script script,
            long timeoutMillis,
            ErrorCode code,
            Outcome outcome) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<FaultCase> faults() {
        return Stream.of(
                new FaultCase(
                        "the peer never replies",
                        (frame, socket) -> {},
                        SHORT_CALL_MILLIS,
                        ErrorCode.DEADLINE_EXCEEDED,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the peer falls silent, pings included",
                        (frame, socket) -> {},
                        LONG_CALL_MILLIS,
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the connection is cut in mid-call",
                        (frame, socket) -> socket.close(),
                        LONG_CALL_MILLIS,
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the reply is garbage",
                        (frame, socket) ->
                                socket.getOutputStream().write("\6garbage".getBytes(UTF_8)),
                        LONG_CALL_MILLIS,
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the length of the reply is no varint",
                        (frame, socket) ->
                                socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, -1, -1}),
                        LONG_CALL_MILLIS,
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the reply is oversized",
                        (frame, socket) ->
                                ScriptedPeer.write(
                                        socket, ScriptedPeer.reply(frame, "x".repeat(65 << 10))),
                        LONG_CALL_MILLIS,
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN),
                new FaultCase(
                        "the peer ends the call with an error",
                        (frame, socket) ->
                                ScriptedPeer.write(
                                        socket,
                                        ScriptedPeer.reply(frame, "").toBuilder()
                                                .setErrorCode("DRAINING")
                                                .build()),
                        LONG_CALL_MILLIS,
                        ErrorCode.DRAINING,
                        Outcome.FAILED),
                new FaultCase(
                        "the peer ends the call with an unknown error",
                        (frame, socket) ->
                                ScriptedPeer.write(
                                        socket,
                                        ScriptedPeer.reply(frame, "").toBuilder()
                                                .setErrorCode("FROM_THE_FUTURE")
                                                .build()),
                        LONG_CALL_MILLIS,
                        ErrorCode.INTERNAL,
                        Outcome.FAILED));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void faultDuringACallIsReportedWithItsOutcome(FaultCase fault) throws IOException {
        try (ScriptedPeer peer = new ScriptedPeer(fault.script())) {
            directory.put("b", peer.address());
            NettyPeerTransport a = start("a", 1);

            BronzewheelException error = failureOf(call(a, "b", "x", fault.timeoutMillis()));

            assertThat(error.code()).isEqualTo(fault.code());
            assertThat(error.outcome()).isEqualTo(fault.outcome());
        }
    }

    @Test
    void callToAStoppedPeerReportsNotRun() throws IOException {
        ScriptedPeer gone = new ScriptedPeer((frame, socket) -> {});
        directory.put("b", gone.address());
        gone.close();

        BronzewheelException error = failureOf(call(start("a", 1), "b", "x", LONG_CALL_MILLIS));

        assertThat(error.code()).isEqualTo(ErrorCode.PEER_UNREACHABLE);
        assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void callToAnUnknownPeerReportsNotRun() {
        BronzewheelException error = failureOf(call(start("a", 1), "b", "x", LONG_CALL_MILLIS));

        assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void callBeyondTheMaximumFrameSizeReportsNotRun() {
        BronzewheelException error =
                failureOf(call(start("a", 1), "b", "x".repeat(64 << 10), LONG_CALL_MILLIS));

        assertThat(error.code()).isEqualTo(ErrorCode.REQUEST_TOO_LARGE);
        assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void callReturnsTheReplyOfItsHandler() {
        NettyPeerTransport a = start("a", 1);
        NettyPeerTransport b = create("b", 1);
        b.serve(
                Channel.CLAIM,
                (from, payload) -> Single.just((from + text(payload)).getBytes(UTF_8)));
        start(b);

        assertThat(text(call(a, "b", "x", LONG_CALL_MILLIS).blockingGet()))
                .isEqualTo(a.self() + "x");
    }

    // LOST: the called router closed the connection of a call that took longer than the idle time.
    @Test
    void aCallThatTakesLongerThanTheIdleTimeIsAnswered() {
        TransportSettings soonIdle =
                new TransportSettings(64 << 10, 256 << 10, 1_000, 10, 50, 60_000, 50, 1);
        NettyPeerTransport a = start(create("a", 1, soonIdle));
        NettyPeerTransport b = create("b", 1, soonIdle);
        b.serve(
                Channel.CLAIM,
                (from, payload) -> Single.just(payload).delay(1_000, TimeUnit.MILLISECONDS));
        start(b);

        assertThat(text(call(a, "b", "x", LONG_CALL_MILLIS).blockingGet())).isEqualTo("x");
    }

    @Test
    void handlerExceptionFailsOnlyItsOwnCall() {
        NettyPeerTransport a = start("a", 1);
        NettyPeerTransport b = create("b", 1);
        b.serve(
                Channel.CLAIM,
                (from, payload) -> {
                    if (text(payload).equals("bad")) {
                        throw new IllegalStateException("broken");
                    }
                    return Single.just(payload);
                });
        start(b);

        assertThat(failureOf(call(a, "b", "bad", LONG_CALL_MILLIS)).code())
                .isEqualTo(ErrorCode.INTERNAL);
        assertThat(text(call(a, "b", "good", LONG_CALL_MILLIS).blockingGet())).isEqualTo("good");
    }

    @Test
    void duplicateReplyIsDropped() throws IOException {
        ScriptedPeer.Script twice =
                (frame, socket) -> {
                    ScriptedPeer.write(
                            socket, ScriptedPeer.reply(frame, frame.getPayload().toStringUtf8()));
                    ScriptedPeer.write(socket, ScriptedPeer.reply(frame, "doubled"));
                };
        try (ScriptedPeer peer = new ScriptedPeer(twice)) {
            directory.put("b", peer.address());
            NettyPeerTransport a = start("a", 1);

            for (String payload : List.of("1", "2", "3")) {
                assertThat(text(call(a, "b", payload, LONG_CALL_MILLIS).blockingGet()))
                        .isEqualTo(payload);
            }
            assertThat(a.counters().repliesDropped()).isAtLeast(2);
        }
    }

    @Test
    void messagesReachAPeerAndTheSenderItself() throws InterruptedException {
        NettyPeerTransport a = create("a", 1);
        NettyPeerTransport b = create("b", 7);
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        a.listen(Channel.LOAD, (from, payload) -> received.add("a:" + from.vmId() + text(payload)));
        b.listen(Channel.LOAD, (from, payload) -> received.add("b:" + from.vmId() + text(payload)));
        start(a);
        start(b);

        assertThat(a.send("b", Channel.LOAD, bytes("1"))).isTrue();
        assertThat(take(received)).isEqualTo("b:a1");
        assertThat(a.send("a", Channel.LOAD, bytes("2"))).isTrue();
        assertThat(take(received)).isEqualTo("a:a2");
    }

    @Test
    void callToTheOwnVmIsHandledAndItsErrorsAreReported() {
        NettyPeerTransport a = create("a", 1);
        a.serve(Channel.CLAIM, (from, payload) -> Single.just(bytes(from.vmId())));
        start(a);

        assertThat(text(call(a, "a", "x", LONG_CALL_MILLIS).blockingGet())).isEqualTo("a");
        Single<byte[]> unserved = a.call("a", Channel.ANSWER, bytes("x"), LONG_CALL_MILLIS);
        assertThat(failureOf(unserved).outcome()).isEqualTo(Outcome.FAILED);
    }

    @Test
    void restartedPeerIsReachedWithItsNewIncarnation() {
        NettyPeerTransport a = start("a", 1);
        NettyPeerTransport first = startEcho("b", 1);
        assertThat(text(call(a, "b", "x", LONG_CALL_MILLIS).blockingGet())).isEqualTo("b1");
        first.stop();

        startEcho("b", 2);

        String reply =
                call(a, "b", "x", LONG_CALL_MILLIS)
                        .retry(1_000, e -> pause())
                        .map(PeerTransportContractTest::text)
                        .blockingGet();
        assertThat(reply).isEqualTo("b2");
    }

    @Test
    void malformedInputClosesOnlyItsOwnConnection() throws IOException {
        NettyPeerTransport a = start("a", 1);
        NettyPeerTransport b = startEcho("b", 1);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), b.localPort())) {
            socket.getOutputStream().write("\20this is no frame".getBytes(UTF_8));

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(text(call(a, "b", "x", LONG_CALL_MILLIS).blockingGet())).isEqualTo("b1");
    }

    @Test
    void messageIsDroppedImmediatelyWhenTheQueueIsFull() throws IOException {
        byte[] large = new byte[32 << 10];
        ScriptedPeer.Script stalled =
                (frame, socket) -> assertThrows(IOException.class, () -> stall(socket));
        try (ScriptedPeer peer = new ScriptedPeer(stalled)) {
            directory.put("b", peer.address());
            NettyPeerTransport a = start("a", 1);
            boolean accepted = true;
            for (int i = 0; i < 10_000 && accepted; i++) {
                accepted = a.send("b", Channel.LOAD, large);
            }
            assertThat(accepted).isFalse();
            assertThat(a.counters().framesDropped()).isEqualTo(1);
        }
    }

    @Test
    void unknownPeerIsAnsweredOnTheConnectionItOpened() throws InterruptedException {
        NettyPeerTransport a = create("a", 1);
        NettyPeerTransport b = create("b", 1);
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        a.listen(Channel.LOAD, (from, payload) -> received.add(text(payload)));
        b.listen(Channel.LOAD, (from, payload) -> b.send("a", Channel.LOAD, bytes("back")));
        start(a);
        start(b);
        directory.remove("a");

        a.send("b", Channel.LOAD, bytes("there"));

        assertThat(take(received)).isEqualTo("back");
    }

    @Test
    void stoppedTransportRejectsMessagesAndCalls() {
        NettyPeerTransport a = start("a", 1);
        startEcho("b", 1);
        a.stop();
        a.stop();

        assertThat(a.send("b", Channel.LOAD, bytes("x"))).isFalse();
        assertThat(failureOf(call(a, "b", "x", LONG_CALL_MILLIS)).outcome())
                .isEqualTo(Outcome.NOT_RUN);
    }

    private NettyPeerTransport create(String vmId, long incarnation) {
        return create(vmId, incarnation, SETTINGS);
    }

    private NettyPeerTransport create(String vmId, long incarnation, TransportSettings settings) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PeerDirectory peers = id -> Optional.ofNullable(directory.get(id));
        return new NettyPeerTransport(new Peer(vmId, incarnation), any, peers, settings);
    }

    private NettyPeerTransport start(String vmId, long incarnation) {
        return start(create(vmId, incarnation));
    }

    private NettyPeerTransport start(NettyPeerTransport transport) {
        transport.start();
        running.add(transport);
        directory.put(
                transport.self().vmId(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), transport.localPort()));
        return transport;
    }

    private NettyPeerTransport startEcho(String vmId, long incarnation) {
        NettyPeerTransport transport = create(vmId, incarnation);
        transport.serve(Channel.CLAIM, (from, payload) -> Single.just(bytes(vmId + incarnation)));
        return start(transport);
    }

    private static Single<byte[]> call(
            NettyPeerTransport from, String to, String payload, long timeoutMillis) {
        return from.call(to, Channel.CLAIM, bytes(payload), timeoutMillis);
    }

    private static BronzewheelException failureOf(Single<byte[]> call) {
        return assertThrows(BronzewheelException.class, call::blockingGet);
    }

    private static void stall(Socket socket) throws IOException {
        // Reads nothing; throws once the other side has closed the connection.
        while (true) {
            socket.sendUrgentData(0);
            pause();
        }
    }

    private static boolean pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(5);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static String take(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, UTF_8);
    }
}
