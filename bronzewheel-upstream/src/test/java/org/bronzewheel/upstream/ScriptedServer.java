package org.bronzewheel.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A fake upstream that answers each request with the next of its scripts, byte by byte. */
final class ScriptedServer implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("(?i)content-length: *(\\d+)\r\n");

    private final NetServer server;
    private final Deque<Script> scripts;
    private final List<String> requests = new CopyOnWriteArrayList<>();

    ScriptedServer(Vertx vertx, Script... scripts) {
        this(vertx, Arrays.asList(scripts));
    }

    ScriptedServer(Vertx vertx, List<Script> scripts) {
        this.scripts = new ArrayDeque<>(scripts);
        this.server = vertx.createNetServer().connectHandler(this::connect);
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    /** What a fake upstream does with one request. */
    interface Script {
        void run(NetSocket socket);
    }

    static Script breakOff() {
        return NetSocket::close;
    }

    static Script hang() {
        return socket -> {};
    }

    static Script raw(String text) {
        return socket -> socket.write(text);
    }

    static Script rawThenClose(String text) {
        return socket -> socket.write(text).onComplete(written -> socket.close());
    }

    static String response(int status, String headers, String body) {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return "HTTP/1.1 "
                + status
                + " Status\r\n"
                + headers
                + "Content-Length: "
                + length
                + "\r\n\r\n"
                + body;
    }

    String address() {
        return "127.0.0.1:" + server.actualPort();
    }

    List<String> requests() {
        return requests;
    }

    private void connect(NetSocket socket) {
        Buffer received = Buffer.buffer();
        socket.handler(
                chunk -> {
                    received.appendBuffer(chunk);
                    String text = received.toString();
                    if (isWhole(text)) {
                        requests.add(text);
                        Script script = scripts.isEmpty() ? breakOff() : scripts.poll();
                        script.run(socket);
                    }
                });
    }

    private static boolean isWhole(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        Matcher length = CONTENT_LENGTH.matcher(text);
        int expected = length.find() ? Integer.parseInt(length.group(1)) : 0;
        return text.length() - end - 4 >= expected;
    }

    @Override
    public void close() {
        server.close().toCompletionStage().toCompletableFuture().join();
    }
}
