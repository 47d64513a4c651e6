import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A new version of the configuration adds a route in which two stages need the results of a third
 * one, and one of the two has a queue.
 */
final class FanOut {
    private static final int REQUESTS = 60;
    private static final long INTERVAL_MILLIS = 800;

    /** The requests of each route that come at once, as in the traffic of tsl-router. */
    private static final int CLUMP = 3;
    private static final int QUEUE = 2;
    private static final Pattern ITEM = Pattern.compile("\\{\"id\":\"[^{}]*\\}");
    private static final Pattern INPUTS = Pattern.compile("\"inputs\":\\[([^\\]]*)\\]");
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+/[^\"]+)\"");

    /** The figures of a stage service: workers, pieces a call, a call and a piece in milliseconds. */
    private record Figures(int workers, int batch, double callMillis, double pieceMillis) {}

    /** As on the sheet of tsl-router: crew-roster, field-registry, gift-shop. */
    private static final Map<String, Figures> SERVICES =
            Map.of(
                    "crew", new Figures(3, 7, 240, 29.7143),
                    "field", new Figures(4, 17, 240, 11.7647),
                    "gift", new Figures(4, 24, 240, 8.51667));

    /** The results that exist, by handle. */
    private static final Map<String, Boolean> results = Stand.map();

    private static final AtomicLong nextHandle = new AtomicLong();
    private static final AtomicInteger gone = new AtomicInteger();

    private FanOut() {}

    public static void main(String[] arguments) throws Exception {
        Stand.record(Path.of(arguments[0]));
        Path folder = Stand.temporaryFolder();
        Stand.Store store = new Stand.Store("127.44.0.1");
        String crew = "{\"service\":\"crew\",\"after\":[%s],\"bytes\":60000}";
        String root = "{\"service\":\"gift\",\"after\":[],\"bytes\":60000},";
        String field = "{\"service\":\"field\",\"after\":[0],\"bytes\":6000},";
        String chain = root + field + crew.formatted(1);
        String fanOut = root + field + crew.formatted(0);
        String first = route("first", "/first/", crew.formatted(""));
        store.put("op/config", configuration(5, first));
        for (Map.Entry<String, Figures> service : SERVICES.entrySet()) {
            for (int i = 1; i <= service.getValue().workers(); i++) {
                StageWorker worker = new StageWorker(service.getKey() + i, service.getValue());
                new Stand.Worker(
                        store, worker.id, service.getKey(), "127.44.1.1", 1, worker::handle);
            }
        }
        for (int i = 1; i <= 2; i++) {
            String id = "engine" + i;
            new Stand.Worker(
                    store, id, "engine", "127.44.1.2", 32, (r, out, s) -> engine(id, r, out));
        }
        List<String> ips = List.of("127.44.2.1");
        int port = Stand.freePort(ips);
        Stand.Router router =
                new Stand.Router(ips.get(0), port, port + 3, port + 4, ips, store, folder);
        router.start();
        router.awaitReady();
        Stand.sleep(4_000);

        store.put(
                "op/config",
                configuration(8, first, route("later", "/later/", Stand.trouble() ? fanOut : chain)));
        Stand.say("version 8 is acknowledged: it adds the route later");
        Stand.sleep(4_000); // configApplyMs is 2,000

        AtomicInteger servedFirst = new AtomicInteger();
        AtomicInteger servedLater = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            threads.add(Stand.thread(() -> call(router, "first", number, "7", servedFirst)));
            threads.add(Stand.thread(() -> call(router, "later", number, "2,2,3", servedLater)));
            if (number % CLUMP == CLUMP - 1) {
                Stand.sleep(INTERVAL_MILLIS);
            }
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        Stand.say(
                "served: first %d of %d, later %d of %d; pieces whose inputs were gone: %d"
                        .formatted(
                                servedFirst.get(),
                                REQUESTS,
                                servedLater.get(),
                                REQUESTS,
                                gone.get()));
        if (servedFirst.get() < REQUESTS / 2) {
            Stand.unable("the first route is not served");
        }
        Stand.end(
                servedLater.get() * 4 < servedFirst.get(),
                "the route that was added later is served %d times, the first one %d times"
                        .formatted(servedLater.get(), servedFirst.get()));
    }

    private static String configuration(int version, String... routes) {
        StringBuilder services =
                new StringBuilder(
                        "{\"name\":\"engine\",\"healthPath\":\"/healthz\",\"maxConnections\":270,"
                                + "\"engine\":{\"slots\":64,\"kvCapacityTokens\":604054,"
                                + "\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}");
        SERVICES.forEach(
                (name, figures) ->
                        services.append(
                                (",{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConnections\":270,"
                                                + "\"pieces\":{\"slots\":1,\"queue\":%d,\"batch\":%d,"
                                                + "\"callMs\":%s,\"itemMs\":%s,\"headroomMb\":8.4,"
                                                + "\"handleS\":4.0,\"linkMbps\":10000}}")
                                        .formatted(
                                                name,
                                                QUEUE,
                                                figures.batch(),
                                                figures.callMillis(),
                                                figures.pieceMillis())));
        return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                        + "\"tenants\":[]}")
                .formatted(version, String.join(",", routes), services);
    }

    private static String route(String name, String prefix, String stages) {
        return ("{\"name\":\"%s\",\"host\":\"caller.example\",\"prefix\":\"%s\",\"kind\":\"stream\","
                        + "\"service\":\"engine\",\"streamResume\":true,\"timeoutMs\":15000,"
                        + "\"targetLatencyMs\":2500,\"targetGapMs\":300,\"priority\":0,"
                        + "\"maxAttempts\":2,\"sessionAffinity\":true,\"public\":true,\"stages\":[%s]}")
                .formatted(name, prefix, stages);
    }

    private static void call(
            Stand.Router router, String route, int number, String pieces, AtomicInteger served) {
        String id = route + "-" + number;
        String head =
                ("POST /%s/x HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: %s\r\n"
                                + "X-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Counts: 400,20\r\n"
                                + "X-Prompt-Prefix: aa:200,b%d:200\r\nX-Pieces: %s\r\n"
                                + "X-Piece-Key: key%d\r\nContent-Length: 0\r\n\r\n")
                        .formatted(route, id, number, pieces, number);
        Stand.say("sent %s".formatted(id));
        Stand.Message answer = router.call(head, new byte[0], 15_000);
        boolean good =
                answer != null
                        && answer.status() == 200
                        && !answer.header("X-Server-Seal").isEmpty()
                        && answer.text().contains("data: end");
        if (good) {
            served.incrementAndGet();
        }
        Stand.say(
                "answer to %s: %s"
                        .formatted(
                                id,
                                answer == null
                                        ? "none"
                                        : good ? "200, whole" : answer.first + " " + answer.text()));
    }

    /** Works on one call at a time, keeps two waiting, and fetches inputs at the turn of a call. */
    private static final class StageWorker {
        final String id;
        private final Figures figures;
        private final Semaphore turn = new Semaphore(1, true);
        private final AtomicInteger calls = new AtomicInteger();

        StageWorker(String id, Figures figures) {
            this.id = id;
            this.figures = figures;
        }

        boolean handle(Stand.Message request, OutputStream out, Socket socket) throws Exception {
            switch (request.target()) {
                case "/-/stage-free" -> {
                    Matcher handle = QUOTED.matcher(request.text());
                    while (handle.find()) {
                        results.remove(handle.group(1));
                    }
                    Stand.say("worker %s frees %s".formatted(id, request.text()));
                    Stand.write(out, "HTTP/1.1 200 OK", Map.of(), new byte[0]);
                }
                case "/-/stage-run" -> run(request, out, socket);
                default ->
                        Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            }
            return true;
        }

        private void run(Stand.Message request, OutputStream out, Socket socket) throws Exception {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Content-Type", "application/json");
            int waiting = calls.getAndIncrement();
            try {
                headers.put("X-Server-Load", Math.min(1, waiting) + "," + Math.max(0, waiting - 1) + ",1");
                if (waiting > QUEUE) {
                    headers.put("X-Not-Executed", "1");
                    Stand.write(out, "HTTP/1.1 503 Full", headers, new byte[0]);
                    return;
                }
                turn.acquire();
                try {
                    Stand.write(out, "HTTP/1.1 200 OK", headers, work(request, socket));
                } finally {
                    turn.release();
                }
            } finally {
                calls.decrementAndGet();
            }
        }

        private byte[] work(Stand.Message request, Socket socket) {
            Stand.say("worker %s runs %s".formatted(id, request.text()));
            String address =
                    socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
            List<String> items = new ArrayList<>();
            List<String> made = new ArrayList<>();
            Matcher item = ITEM.matcher(request.text());
            while (item.find()) {
                if (hasInputs(item.group())) {
                    String handle =
                            address + "/" + Long.toHexString(0x5c1e0000L + nextHandle.incrementAndGet());
                    made.add(handle);
                    items.add("{\"handle\":\"" + handle + "\"}");
                } else {
                    gone.incrementAndGet();
                    items.add("{\"reason\":\"gone\"}");
                }
            }
            Stand.sleep(Math.round(figures.callMillis() + figures.pieceMillis() * made.size()));
            made.forEach(handle -> results.put(handle, true));
            String body = "{\"items\":[" + String.join(",", items) + "]}";
            Stand.say("worker %s answers %s".formatted(id, body));
            return Stand.bytes(body);
        }

        private static boolean hasInputs(String item) {
            Matcher inputs = INPUTS.matcher(item);
            if (inputs.find() && !inputs.group(1).isEmpty()) {
                for (String handle : inputs.group(1).split(",")) {
                    if (!results.containsKey(handle.replace("\"", ""))) {
                        return false;
                    }
                }
            }
            return true;
        }
    }

    /** Answers a request whose inputs exist by a short stream. */
    private static boolean engine(String id, Stand.Message request, OutputStream out)
            throws Exception {
        if (request.method().equals("GET")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        Map<String, String> headers = Stand.echo(request);
        for (String handle : request.header("X-Inputs").split(",")) {
            if (!results.containsKey(handle.trim())) {
                headers.put("X-Not-Executed", "1");
                Stand.write(out, "HTTP/1.1 409 Gone", headers, new byte[0]);
                return true;
            }
        }
        Stand.say("worker %s runs attempt %s".formatted(id, request.header("X-Attempt-Id")));
        Stand.sleep(60);
        headers.put("Content-Type", "text/event-stream");
        headers.put("X-Server-Seal", id + ".seal");
        Stand.write(
                out,
                "HTTP/1.1 200 OK",
                headers,
                Stand.bytes("id: 1\ndata: begin\n\nid: 2\ndata: end\n\n"));
        return true;
    }
}
