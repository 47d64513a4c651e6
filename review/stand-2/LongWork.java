import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration adds an idempotent route whose work takes two thirds of the
 * time that the route has.
 */
final class LongWork {
    private static final int REQUESTS = 40;
    private static final long INTERVAL_MILLIS = 300;
    private static final long SHORT_WORK_MILLIS = 50;
    private static final long LONG_WORK_MILLIS = 650;
    private static final int TIMEOUT_MILLIS = 1_000;

    private LongWork() {}

    public static void main(String[] arguments) throws Exception {
        Stand.record(Path.of(arguments[0]));
        Path folder = Stand.temporaryFolder();
        Stand.Store store = new Stand.Store("127.45.0.1");
        String first = route("first", "lookup", 3);
        store.put("op/config", configuration(5, first));
        for (int i = 1; i <= 3; i++) {
            worker(store, "lookup" + i, "lookup", SHORT_WORK_MILLIS);
            worker(store, "report" + i, "report", LONG_WORK_MILLIS);
        }
        List<String> ips = List.of("127.45.2.1");
        int port = Stand.freePort(ips);
        Stand.Router router =
                new Stand.Router(ips.get(0), port, port + 3, port + 4, ips, store, folder);
        router.start();
        router.awaitReady();
        Stand.sleep(8_000);

        store.put(
                "op/config",
                configuration(8, first, route("later", "report", Stand.trouble() ? 2 : 1)));
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
        Stand.say(
                "served: first %d of %d, later %d of %d"
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
        return ("{\"version\":%d,\"routes\":[%s],\"services\":["
                        + "{\"name\":\"lookup\",\"healthPath\":\"/healthz\",\"maxConnections\":96},"
                        + "{\"name\":\"report\",\"healthPath\":\"/healthz\",\"maxConnections\":96}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}")
                .formatted(version, String.join(",", routes));
    }

    private static String route(String name, String service, int maxAttempts) {
        return ("{\"name\":\"%s\",\"host\":\"caller.example\",\"prefix\":\"/%s/\",\"kind\":\"idempotent\","
                        + "\"service\":\"%s\",\"timeoutMs\":%d,\"targetLatencyMs\":800,\"priority\":0,"
                        + "\"maxAttempts\":%d,\"public\":true}")
                .formatted(name, name, service, TIMEOUT_MILLIS, maxAttempts);
    }

    private static void worker(Stand.Store store, String id, String service, long workMillis)
            throws Exception {
        new Stand.Worker(
                store,
                id,
                service,
                "127.45.1.1",
                6,
                (request, out, socket) -> work(id, workMillis, request, out, socket));
    }

    /** Works on a request, and drops it when its connection closes. */
    private static boolean work(
            String id, long workMillis, Stand.Message request, OutputStream out, Socket socket)
            throws Exception {
        if (request.target().equals("/healthz")) {
            Stand.write(out, "HTTP/1.1 200 OK", Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String attempt = request.header("X-Attempt-Id");
        Stand.say(
                "worker %s runs %s, X-Deadline-Ms %s"
                        .formatted(id, attempt, request.header("X-Deadline-Ms")));
        long endMillis = Stand.now() + workMillis;
        while (Stand.now() < endMillis) {
            socket.setSoTimeout((int) Math.max(1, endMillis - Stand.now()));
            try {
                if (socket.getInputStream().read() < 0) {
                    Stand.say("worker %s drops %s: the connection was closed".formatted(id, attempt));
                    return false;
                }
            } catch (java.net.SocketTimeoutException e) {
                // Still connected.
            }
        }
        socket.setSoTimeout(0);
        Map<String, String> headers = Stand.echo(request);
        headers.put("X-Server-Seal", id + ".seal");
        Stand.write(out, "HTTP/1.1 200 OK", headers, Stand.bytes("done"));
        return true;
    }

    private static void call(Stand.Router router, String route, int number, AtomicInteger served) {
        String id = route + "-" + number;
        String head =
                ("GET /%s/x HTTP/1.1\r\nHost: caller.example\r\nX-Attempt-Id: %s\r\n"
                                + "X-Deadline-Ms: 2000\r\n\r\n")
                        .formatted(route, id);
        Stand.say("sent %s".formatted(id));
        long startMillis = Stand.now();
        Stand.Message answer = router.call(head, new byte[0], 4_000);
        boolean good =
                answer != null
                        && answer.status() == 200
                        && !answer.header("X-Server-Seal").isEmpty()
                        && answer.text().equals("done");
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
}
