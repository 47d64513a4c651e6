import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Clients read streams whose events have increasing 64-bit ids. A router is killed in the middle of
 * them, and each client goes on at another router, with the id of the last event that it has.
 */
final class Resume {
    private static final int EVENTS = 30;
    private static final int CLIENTS = 6;

    /** One of seven is killed: a share of 0.14. */
    private static final int ROUTERS = 7;

    private static final long EVENT_MILLIS = 100;

    /** The first id of each stream, which all workers know. */
    private static final Map<String, Long> firstIds = Stand.map();

    private Resume() {}

    public static void main(String[] arguments) throws Exception {
        Stand.record(Path.of(arguments[0]));
        Path folder = Stand.temporaryFolder();
        Stand.Store store = new Stand.Store("127.41.0.1");
        store.put(
                "op/config",
                """
                {"version":5,"routes":[{"name":"stream","host":"caller.example","prefix":"/s/",
                "service":"pool","kind":"stream","streamResume":true,"timeoutMs":20000,
                "targetLatencyMs":1400,"targetGapMs":300,"priority":0,"maxAttempts":2,"public":true}],
                "services":[{"name":"pool","healthPath":"/healthz","maxConnections":250}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                "idleTimeoutMs":15000},"tenants":[]}""");
        for (int i = 1; i <= 3; i++) {
            String id = "w" + i;
            new Stand.Worker(
                    store,
                    id,
                    "pool",
                    "127.41.1." + i,
                    32,
                    (request, out, socket) -> stream(id, request, out));
        }
        List<String> ips = new ArrayList<>();
        for (int i = 1; i <= ROUTERS; i++) {
            ips.add("127.41.2." + i);
        }
        int port = Stand.freePort(ips);
        List<Stand.Router> routers = new ArrayList<>();
        for (String ip : ips) {
            Stand.Router router =
                    new Stand.Router(ip, port, port + 3, port + 4, ips.subList(0, 3), store, folder);
            router.start();
            routers.add(router);
        }
        routers.forEach(Stand.Router::awaitReady);

        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            // As of a generator of 64-bit ids that all workers share: 41 bits of time, 10 bits for
            // the stream, 12 bits that count; the count of every second stream begins at 700.
            long first = (System.currentTimeMillis() << 22) + ((long) i << 12) + i % 2 * 700;
            firstIds.put("s" + i, first);
            Client client = new Client("s" + i, List.of(routers.get(0), routers.get(1 + i % (ROUTERS - 1))));
            clients.add(client);
            threads.add(Stand.thread(client::run));
        }
        Stand.sleep(EVENTS / 2 * EVENT_MILLIS);
        if (Stand.trouble()) {
            Stand.say("router " + routers.get(0).ip + " is killed");
            routers.get(0).process.destroyForcibly();
        }
        for (Thread thread : threads) {
            thread.join(40_000);
        }
        int broken = 0;
        for (Client client : clients) {
            broken += client.judge() ? 0 : 1;
        }
        Stand.end(broken > 0, broken + " of " + CLIENTS + " streams have a piece twice or lack one");
    }

    /** Answers with the events after the one that the request names. */
    private static boolean stream(String worker, Stand.Message request, OutputStream out)
            throws Exception {
        if (request.method().equals("GET")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", worker), new byte[0]);
            return true;
        }
        String name = request.text();
        String after = request.header("Last-Event-Id");
        long first = firstIds.get(name);
        long lastSeen = after.isEmpty() ? first - 1 : Long.parseLong(after);
        Stand.say(
                "worker %s runs attempt %s of %s, Last-Event-Id=%s"
                        .formatted(worker, request.header("X-Attempt-Id"), name, after));
        out.write(
                Stand.bytes(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: "
                                + request.header("X-Attempt-Id")
                                + "\r\nX-Server-Seal: "
                                + worker
                                + ".seal\r\nTransfer-Encoding: chunked\r\n\r\n"));
        out.flush();
        for (int i = 0; i < EVENTS; i++) {
            if (first + i > lastSeen) {
                Stand.sleep(EVENT_MILLIS);
                byte[] event = Stand.bytes("id: " + (first + i) + "\ndata: piece " + i + "\n\n");
                out.write(Stand.bytes(Integer.toHexString(event.length) + "\r\n"));
                out.write(event);
                out.write(Stand.bytes("\r\n"));
                out.flush();
            }
        }
        out.write(Stand.bytes("0\r\n\r\n"));
        out.flush();
        return true;
    }

    /** Reads one stream, at another router after a broken connection. */
    private static final class Client {
        private final String name;
        private final List<Stand.Router> routers;
        private final List<String> pieces = new ArrayList<>();
        private String lastId = "";
        private boolean complete;
        private int attempts;

        Client(String name, List<Stand.Router> routers) {
            this.name = name;
            this.routers = routers;
        }

        void run() {
            while (!complete && attempts < routers.size()) {
                try {
                    attempt(routers.get(attempts++));
                } catch (IOException | RuntimeException e) {
                    Stand.say(
                            "client %s: connection broken after %d pieces, last id %s (%s)"
                                    .formatted(name, pieces.size(), lastId, e));
                }
            }
        }

        private void attempt(Stand.Router router) throws IOException {
            try (Socket socket = router.connect()) {
                socket.setSoTimeout(8_000);
                String head =
                        "POST /s/ HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: "
                                + name
                                + "-attempt-"
                                + attempts
                                + "\r\nX-Deadline-Ms: 20000\r\n"
                                + (lastId.isEmpty() ? "" : "Last-Event-Id: " + lastId + "\r\n")
                                + "Content-Length: "
                                + name.length()
                                + "\r\n\r\n"
                                + name;
                Stand.say("client %s sends attempt %d to %s, Last-Event-Id=%s"
                        .formatted(name, attempts, router.ip, lastId));
                socket.getOutputStream().write(Stand.bytes(head));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Stand.Message answer = Stand.head(in);
                if (answer == null) {
                    throw new IOException("no answer");
                }
                if (answer.status() != 200) {
                    Stand.say("client %s gets status %d".formatted(name, answer.status()));
                    return;
                }
                StringBuilder text = new StringBuilder();
                for (byte[] next = Stand.chunk(in); next.length > 0; next = Stand.chunk(in)) {
                    text.append(new String(next, java.nio.charset.StandardCharsets.UTF_8));
                    int end = text.indexOf("\n\n");
                    while (end >= 0) {
                        take(text.substring(0, end));
                        text.delete(0, end + 2);
                        end = text.indexOf("\n\n");
                    }
                }
                complete = true;
            }
        }

        private void take(String event) {
            for (String line : event.split("\n")) {
                if (line.startsWith("id: ")) {
                    lastId = line.substring(4);
                } else if (line.startsWith("data: ")) {
                    pieces.add(line.substring(6));
                }
            }
        }

        /** Returns whether each piece came once, in order; a stream that broke off is no fault. */
        boolean judge() {
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < EVENTS; i++) {
                expected.add("piece " + i);
            }
            boolean good =
                    complete
                            ? pieces.equals(expected)
                            : pieces.equals(expected.subList(0, Math.min(EVENTS, pieces.size())));
            Stand.say(
                    "client %s: complete=%b attempts=%d %s pieces=%s"
                            .formatted(name, complete, attempts, good ? "in order" : "WRONG", pieces));
            return good;
        }
    }
}
