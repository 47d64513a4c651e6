import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A new version of the configuration takes a key from one tenant and adds it to another one, while
 * requests with that key are in stages that take longer than the new version needs to be in force.
 */
final class KeyMove {
    private static final int REQUESTS = 6;
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    /** The figures of a stage service: workers, pieces a call, a call and a piece in milliseconds. */
    private record Figures(int workers, int batch, double callMillis, double pieceMillis) {}

    /** As on the sheet of tsl-router: crew-roster, field-registry, gift-shop. */
    private static final Map<String, Figures> SERVICES =
            Map.of(
                    "crew", new Figures(3, 7, 240, 29.7143),
                    "field", new Figures(4, 17, 240, 11.7647),
                    "gift", new Figures(4, 24, 240, 8.51667));

    private static final Pattern ITEM = Pattern.compile("\\{\"id\":\"[^{}]*\\}");

    private static final AtomicInteger nextHandle = new AtomicInteger();
    private static final AtomicInteger ranAsBefore = new AtomicInteger();
    private static final AtomicInteger ranAsNow = new AtomicInteger();

    /** When the new version was acknowledged, or 0. */
    private static volatile long movedAtMillis;

    private KeyMove() {}

    public static void main(String[] arguments) throws Exception {
        Stand.record(Path.of(arguments[0]));
        Path folder = Stand.temporaryFolder();
        Stand.Store store = new Stand.Store("127.43.0.1");
        store.put("op/config", configuration(5, "\"key-moves\",\"key-one\"", "\"key-two\""));
        for (Map.Entry<String, Figures> service : SERVICES.entrySet()) {
            for (int i = 1; i <= service.getValue().workers(); i++) {
                String id = service.getKey() + i;
                new Stand.Worker(
                        store,
                        id,
                        service.getKey(),
                        "127.43.1.1",
                        1,
                        (r, out, socket) -> stage(id, service.getValue(), socket, r, out));
            }
        }
        for (int i = 1; i <= 2; i++) {
            String id = "engine" + i;
            new Stand.Worker(
                    store, id, "engine", "127.43.1.2", 32, (r, out, socket) -> engine(id, r, out));
        }
        List<String> ips = List.of("127.43.2.1");
        int port = Stand.freePort(ips);
        Stand.Router router =
                new Stand.Router(ips.get(0), port, port + 3, port + 4, ips, store, folder);
        router.start();
        router.awaitReady();
        Stand.sleep(3_000);

        List<Thread> threads = new ArrayList<>();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < REQUESTS; i++) {
            int number = i;
            threads.add(Stand.thread(() -> call(router, number, served)));
        }
        Stand.sleep(200);
        if (Stand.trouble()) {
            store.put("op/config", configuration(8, "\"key-one\"", "\"key-two\",\"key-moves\""));
            movedAtMillis = Stand.now();
            Stand.say("version 8 is acknowledged: key-moves belongs to tenant-b, no longer to tenant-a");
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        Stand.say(
                "answered with success: %d; runs as tenant-a %d, as tenant-b %d"
                        .formatted(served.get(), ranAsBefore.get(), ranAsNow.get()));
        if (ranAsBefore.get() + ranAsNow.get() == 0) {
            Stand.unable("no request ran late enough");
        }
        int wrong = Stand.trouble() ? ranAsBefore.get() : ranAsNow.get();
        Stand.end(
                wrong > 0,
                wrong + " runs bear an X-Tenant that is not the tenant that holds the key");
    }

    private static String configuration(int version, String keysOfA, String keysOfB) {
        StringBuilder stages = new StringBuilder();
        int number = 0;
        for (String service : List.of("crew", "field", "gift", "crew", "field", "gift")) {
            stages.append(number == 0 ? "" : ",")
                    .append("{\"service\":\"%s\",\"after\":[%s],\"bytes\":60000}"
                            .formatted(service, number == 0 ? "" : number - 1));
            number++;
        }
        StringBuilder services = new StringBuilder();
        SERVICES.forEach(
                (name, figures) ->
                        services.append(
                                (",{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConnections\":270,"
                                                + "\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":%d,"
                                                + "\"callMs\":%s,\"itemMs\":%s,\"headroomMb\":8.4,"
                                                + "\"handleS\":4.0,\"linkMbps\":10000}}")
                                        .formatted(
                                                name,
                                                figures.batch(),
                                                figures.callMillis(),
                                                figures.pieceMillis())));
        return ("""
                {"version":%d,"routes":[{"name":"draft","host":"caller.example","prefix":"/draft/",
                "service":"engine","kind":"stream","streamResume":true,"timeoutMs":15000,
                "targetLatencyMs":2500,"targetGapMs":300,"priority":0,"maxAttempts":2,
                "sessionAffinity":true,"public":false,"stages":[%s]}],
                "services":[{"name":"engine","healthPath":"/healthz","maxConnections":270,
                "engine":{"slots":64,"kvCapacityTokens":604054,"handleS":5.0,"models":[{"name":"m"}]}}%s],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                "idleTimeoutMs":15000},
                "tenants":[{"name":"tenant-a","apiKeys":[%s]},{"name":"tenant-b","apiKeys":[%s]}]}""")
                .formatted(version, stages, services, keysOfA, keysOfB);
    }

    private static void call(Stand.Router router, int number, AtomicInteger served) {
        String head =
                ("POST /draft/x HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: draft-%d\r\n"
                                + "X-Deadline-Ms: 15000\r\nX-Model: m\r\nX-Token-Counts: 400,20\r\n"
                                + "X-Prompt-Prefix: aa:200,b%d:200\r\nX-Pieces: 7,7,7,7,7,7\r\nX-Piece-Key: k%d\r\n"
                                + "Authorization: Token key-moves\r\nContent-Length: 0\r\n\r\n")
                        .formatted(number, number, number);
        Stand.say("sent draft-%d with key-moves".formatted(number));
        Stand.Message answer = router.call(head, new byte[0], 15_000);
        if (answer != null && answer.status() == 200) {
            served.incrementAndGet();
        }
        Stand.say(
                "answer to draft-%d: %s"
                        .formatted(
                                number,
                                answer == null
                                        ? "none"
                                        : answer.first + " seal=" + answer.header("X-Server-Seal")));
    }

    private static boolean stage(
            String id,
            Figures figures,
            java.net.Socket socket,
            Stand.Message request,
            OutputStream out)
            throws Exception {
        if (!request.target().equals("/-/stage-run")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        List<String> items = new ArrayList<>();
        Matcher item = ITEM.matcher(request.text());
        String address = socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
        while (item.find()) {
            items.add("{\"handle\":\"%s/%x\"}".formatted(address, 0x9100 + nextHandle.incrementAndGet()));
        }
        Stand.say("worker %s works on %d pieces".formatted(id, items.size()));
        Stand.sleep(Math.round(figures.callMillis() + figures.pieceMillis() * items.size()));
        Stand.write(
                out,
                "HTTP/1.1 200 OK",
                Map.of("Content-Type", "application/json", "X-Server-Load", "0,0,1"),
                Stand.bytes("{\"items\":[" + String.join(",", items) + "]}"));
        return true;
    }

    /** Runs a request and counts its tenant, once the new version has to be in force. */
    private static boolean engine(String id, Stand.Message request, OutputStream out)
            throws Exception {
        if (request.method().equals("GET")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String tenant = request.header("X-Tenant");
        long sinceMillis = movedAtMillis == 0 ? 0 : Stand.now() - movedAtMillis;
        Stand.say(
                "worker %s runs %s with X-Tenant %s, %d ms after the acknowledgement"
                        .formatted(id, request.header("X-Attempt-Id"), tenant, sinceMillis));
        if (movedAtMillis == 0 || sinceMillis > CONFIG_APPLY_MILLIS) {
            (tenant.equals("tenant-b") ? ranAsNow : ranAsBefore).incrementAndGet();
        }
        Map<String, String> headers = Stand.echo(request);
        headers.put("Content-Type", "text/event-stream");
        headers.put("X-Server-Seal", id + ".seal");
        Stand.sleep(60);
        Stand.write(
                out, "HTTP/1.1 200 OK", headers, Stand.bytes("id: 1\ndata: begin\n\nid: 2\ndata: end\n\n"));
        return true;
    }
}
