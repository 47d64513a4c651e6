import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A new version of the configuration adds a route with the stages of the first route, which take a
 * third of a second, and with an aim of half a second.
 */
final class ShortAim {
    private static final int REQUESTS = 32;
    private static final long INTERVAL_MILLIS = 300;
    private static final Pattern ITEM = Pattern.compile("\\{\"id\":\"[^{}]*\\}");
    private static final Pattern INPUTS = Pattern.compile("\"inputs\":\\[([^\\]]*)\\]");

    /** The results that exist, by handle. */
    private static final Map<String, Boolean> results = Stand.map();

    private static final AtomicLong nextHandle = new AtomicLong();

    private ShortAim() {}

    public static void main(String[] arguments) throws Exception {
        Stand.record(Path.of(arguments[0]));
        Path folder = Stand.temporaryFolder();
        Stand.Store store = new Stand.Store("127.46.0.1");
        String chain =
                "{\"service\":\"load\",\"after\":[],\"bytes\":60000},"
                        + "{\"service\":\"embed\",\"after\":[0],\"bytes\":6000},"
                        + "{\"service\":\"rank\",\"after\":[1],\"bytes\":6000},"
                        + "{\"service\":\"pack\",\"after\":[2],\"bytes\":6000}";
        String first = route("first", "/first/", chain, 2_500);
        store.put("op/config", configuration(5, first));
        for (String service : List.of("load", "embed", "rank", "pack")) {
            for (int i = 1; i <= 2; i++) {
                String id = service + i;
                new Stand.Worker(
                        store,
                        id,
                        service,
                        "127.46.1.1",
                        1,
                        (request, out, socket) -> stage(id, socket, request, out));
            }
        }
        for (int i = 1; i <= 2; i++) {
            String id = "engine" + i;
            new Stand.Worker(
                    store, id, "engine", "127.46.1.2", 32, (r, out, s) -> engine(id, r, out));
        }
        List<String> ips = List.of("127.46.2.1");
        int port = Stand.freePort(ips);
        Stand.Router router =
                new Stand.Router(ips.get(0), port, port + 3, port + 4, ips, store, folder);
        router.start();
        router.awaitReady();
        Stand.sleep(4_000);

        store.put(
                "op/config",
                configuration(
                        8, first, route("later", "/later/", chain, Stand.trouble() ? 500 : 2_500)));
        Stand.say("version 8 is acknowledged: it adds the route later");
        Stand.sleep(4_000); // configApplyMs is 2,000

        AtomicInteger servedFirst = new AtomicInteger();
        AtomicInteger servedLater = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            threads.add(Stand.thread(() -> call(router, "first", number, servedFirst)));
            Stand.sleep(INTERVAL_MILLIS);
            threads.add(Stand.thread(() -> call(router, "later", number, servedLater)));
            Stand.sleep(INTERVAL_MILLIS);
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        Stand.say("served: first %d of %d, later %d of %d"
                .formatted(servedFirst.get(), REQUESTS, servedLater.get(), REQUESTS));
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
        for (String stage : List.of("load", "embed", "rank", "pack")) {
            services.append(
                    ",{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"pieces\":{\"slots\":1,"
                                    .formatted(stage)
                            + "\"queue\":2,\"batch\":7,\"callMs\":40.0,\"itemMs\":5.0,"
                            + "\"headroomMb\":16.8,\"handleS\":4.0,\"linkMbps\":10000}}");
        }
        return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                        + "\"tenants\":[]}")
                .formatted(version, String.join(",", routes), services);
    }

    private static String route(String name, String prefix, String stages, int aimMillis) {
        return ("{\"name\":\"%s\",\"host\":\"caller.example\",\"prefix\":\"%s\",\"kind\":\"stream\","
                        + "\"service\":\"engine\",\"streamResume\":true,\"timeoutMs\":15000,"
                        + "\"targetLatencyMs\":%d,\"targetGapMs\":200,\"priority\":0,"
                        + "\"maxAttempts\":2,\"sessionAffinity\":true,\"public\":true,\"stages\":[%s]}")
                .formatted(name, prefix, aimMillis, stages);
    }

    private static void call(Stand.Router router, String route, int number, AtomicInteger served) {
        String id = route + "-" + number;
        String head =
                ("POST /%s/x HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: %s\r\n"
                                + "X-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Counts: 400,20\r\n"
                                + "X-Prompt-Prefix: aa:200,b%d:200\r\nX-Pieces: 2,2,2,2\r\n"
                                + "X-Piece-Key: key%d\r\nContent-Length: 0\r\n\r\n")
                        .formatted(route, id, number, number);
        Stand.say("sent %s".formatted(id));
        long startMillis = Stand.now();
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
                "answer to %s after %d ms: %s"
                        .formatted(
                                id,
                                Stand.now() - startMillis,
                                answer == null
                                        ? "none"
                                        : good ? "200, whole" : answer.first + " " + answer.text()));
    }

    /** Makes results, one for each item, if all inputs exist. */
    private static boolean stage(
            String id, java.net.Socket socket, Stand.Message request, OutputStream out)
            throws Exception {
        String path = request.target();
        if (path.equals("/-/stage-free")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of(), new byte[0]);
            return true;
        }
        if (!path.equals("/-/stage-run")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        List<String> items = new ArrayList<>();
        Matcher item = ITEM.matcher(request.text());
        Stand.say("worker %s runs %s".formatted(id, request.text()));
        String address =
                socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
        while (item.find()) {
            Matcher inputs = INPUTS.matcher(item.group());
            boolean gone = false;
            if (inputs.find() && !inputs.group(1).isEmpty()) {
                for (String handle : inputs.group(1).split(",")) {
                    gone |= !results.containsKey(handle.replace("\"", ""));
                }
            }
            String handle = address + "/" + Long.toHexString(0x5c1e0000L + nextHandle.incrementAndGet());
            results.put(handle, true);
            items.add(gone ? "{\"reason\":\"gone\"}" : "{\"handle\":\"" + handle + "\"}");
        }
        Stand.sleep(40 + 5L * items.size());
        byte[] body = Stand.bytes("{\"items\":[" + String.join(",", items) + "]}");
        Stand.write(
                out,
                "HTTP/1.1 200 OK",
                Map.of("Content-Type", "application/json", "X-Server-Load", "0,0,1"),
                body);
        return true;
    }

    /** Answers a request whose inputs exist by a short stream. */
    private static boolean engine(String id, Stand.Message request, OutputStream out)
            throws Exception {
        if (request.method().equals("GET")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        Map<String, String> headers = Stand.echo(request);
        String inputs = request.header("X-Inputs");
        if (inputs.isEmpty()) {
            headers.put("X-Not-Executed", "1");
            Stand.write(out, "HTTP/1.1 400 No inputs", headers, new byte[0]);
            return true;
        }
        for (String handle : inputs.split(",")) {
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
