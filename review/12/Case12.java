import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers answer uploads early, without a length, and read the rest. Some of these answers break off
 * in the middle, with a reset. A part of an answer must not look like a whole one.
 */
final class Case12 {
    private static final int UPLOAD_BYTES = 200_000;
    private static final int ANSWER_BYTES = 800;
    private static final int CLIENTS = 6;
    private static final long CALM_MILLIS = 3_000;
    private static final long GARBLE_MILLIS = 5_000;
    private static final int GARBLE_EACH = 25;

    /** The answers that were broken off, with the bytes that were sent. */
    private static final Map<String, Integer> BROKEN_OFF = new ConcurrentHashMap<>();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final List<String> SHORT = java.util.Collections.synchronizedList(new ArrayList<>());
    private static volatile boolean garbling;
    private static volatile boolean stopped;

    private Case12() {}

    private static String config() {
        return "{\"version\":5,\"routes\":[{\"name\":\"r-up\",\"host\":\"h.example\",\"prefix\":\"/up/\",\"kind\":\"non_idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":386,\"priority\":2,\"service\":\"shop\",\"maxAttempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"ten\",\"apiKeys\":[\"key1\"],\"priority\":1}]}";
    }

    /** A worker that answers an upload before it has read it. */
    private static final class Shop {
        private final String id;
        private final boolean faulty;
        private int answers;
        private final Rig.Server server;
        private final Rig.Store store;
        private int sequence = 1;

        Shop(Rig.Store store, int number) throws IOException {
            this.store = store;
            this.id = "i-shop" + number;
            this.faulty = number < 2;
            this.server = new Rig.Server("127.0.0.1", 0, this::serve);
        }

        void register() {
            store.put("servers/" + id, "{\"service\":\"shop\",\"address\":\"" + server.at() + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + sequence++ + "}");
        }

        private synchronized boolean breaksOff() {
            return faulty && garbling && ++answers % GARBLE_EACH == 0;
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            Rig.Message request = Rig.head(in);
            if (request == null) {
                return;
            }
            String attempt = request.header("x-attempt-id");
            Rig.sleep(86);
            byte[] body = new byte[ANSWER_BYTES];
            Arrays.fill(body, (byte) 'a');
            String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal." + id + "." + attempt + "\r\nConnection: close\r\n\r\n";
            if (breaksOff() || request.header("x-probe") != null) {
                if (!attempt.equals("probe")) {
                    BROKEN_OFF.put(attempt, ANSWER_BYTES / 2);
                }
                Rig.send(out, head, Arrays.copyOf(body, ANSWER_BYTES / 2));
                Rig.log("worker %s breaks off its answer to %s after %d of %d bytes and closes with the request unread", id, attempt, ANSWER_BYTES / 2, ANSWER_BYTES);
                return;
            }
            Rig.send(out, head, body);
            Rig.body(in, request, false, null);
        }
    }

    /** Shows on a connection of its own that an answer that is broken off ends with a reset. */
    private static void probe(Shop worker) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", worker.server.port)) {
            OutputStream out = socket.getOutputStream();
            Rig.send(out, "POST /up/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: probe\r\nX-Probe: 1\r\nContent-Length: " + UPLOAD_BYTES + "\r\n\r\n", new byte[UPLOAD_BYTES]);
            Rig.log("probe, sent to a worker directly: %d bytes up to the end of the connection", socket.getInputStream().readAllBytes().length);
            Rig.sleep(20);
            out.write(0);
            Rig.sleep(20);
            out.write(0);
            Rig.log("probe: the connection wasn't reset");
        } catch (IOException e) {
            Rig.log("probe: the connection was reset: %s", e.getMessage());
        }
    }

    private static void client(Rig.Router router) {
        while (!stopped) {
            try (Rig.Client client = new Rig.Client(router.ip, router.front)) {
                while (!stopped) {
                    Rig.Call call = client.call("POST", "h.example", "/up/x", "Authorization: Token key1\r\n", new byte[UPLOAD_BYTES], 4000);
                    ANSWERED.incrementAndGet();
                    boolean success = call.answer != null && call.answer.whole && call.answer.status() == 200;
                    if (success && call.answer.body.length == ANSWER_BYTES) {
                        WHOLE.incrementAndGet();
                    } else if (success) {
                        SHORT.add(call.id + ": 200, complete, " + call.answer.body.length + " bytes" + (BROKEN_OFF.containsKey(call.id) ? ", broken off by its worker" : ""));
                    }
                    if (call.answer == null || !call.answer.whole) {
                        break;
                    }
                    Rig.sleep(20);
                }
            } catch (IOException e) {
                Rig.sleep(100);
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        Path temporary = Rig.temporary("case12");
        int exit = 2;
        try {
            Rig.openRecord(arguments[0]);
            exit = play(temporary);
        } catch (Exception e) {
            Rig.log("the case could not run: %s", e);
        }
        Runtime.getRuntime().halt(Rig.endProcesses(exit));
    }

    private static int play(Path temporary) throws Exception {
        Rig.Store store = new Rig.Store("127.0.0.1");
        List<Shop> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Shop(store, i));
        }
        store.put("op/config", config());
        workers.forEach(Shop::register);
        int peerPort = Rig.freePort("127.0.1.12");
        Rig.Router router = new Rig.Router(temporary, "front-za-1", "127.0.1.12", "za", peerPort, List.of("127.0.1.12"), store.server.at(), 8);
        router.start();
        router.awaitReady(20_000);
        Rig.daemon("beats", () -> {
            while (true) {
                Rig.sleep(1200);
                workers.forEach(Shop::register);
            }
        });
        ExecutorService pool = Executors.newCachedThreadPool();
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(pool.submit(() -> client(router)));
        }
        Rig.sleep(CALM_MILLIS);
        if (WHOLE.get() == 0) {
            throw new IllegalStateException("no upload is served");
        }
        if (Rig.TROUBLE) {
            probe(workers.get(0));
        }
        garbling = Rig.TROUBLE;
        Rig.sleep(GARBLE_MILLIS);
        garbling = false;
        Rig.sleep(1_000);
        stopped = true;
        for (Future<?> client : clients) {
            client.get();
        }
        Rig.log("uploads: %d; answered whole: %d; answers broken off by their workers: %d", ANSWERED.get(), WHOLE.get(), BROKEN_OFF.size());
        Rig.log("successes with a part of the worker's body, framed as whole: %d %s", SHORT.size(), SHORT);
        return SHORT.isEmpty() ? 0 : 1;
    }
}
