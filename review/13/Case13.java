import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The only tenant loses its only key, and its empty entry is removed by the next configuration. A
 * request with that key, sent later than revokeMs after the first of the two, must not run.
 */
final class Case13 {
    private static final long REVOKE_MILLIS = 5_000;
    private static final String KEY = "9dnn2ctnfzs989anu6ws";
    private static final String NEVER_HELD = "aaaa1111bbbb2222cccc";

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final Map<String, Integer> ANSWERS = new java.util.TreeMap<>();

    private Case13() {}

    private static String config(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-book\",\"host\":\"h.example\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":386,\"priority\":2,\"service\":\"shop\",\"maxAttempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"shop\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":" + tenants + "}";
    }

    private static final class Shop extends Rig.Worker {
        Shop(Rig.Store store, int number) throws IOException {
            super(store, "i-shop" + number, "shop", "127.0.0.1", "za", 6);
        }

        @Override
        boolean answer(Rig.Message request, Socket socket, OutputStream out) throws Exception {
            RUN.add(run(request).id);
            Rig.sleep(86);
            Rig.send(out, "HTTP/1.1 200 OK\r\n" + seal(request.header("x-attempt-id")) + "Content-Length: 2\r\n\r\n", Rig.bytes("ok"));
            return true;
        }
    }

    private static String tenant(String keys) {
        return "[{\"name\":\"bozi300\",\"apiKeys\":[" + keys + "],\"priority\":1}]";
    }

    /** Sends requests with a key over a kept connection; returns those that ran. */
    private static List<String> send(Rig.Router router, String what, String key, int count) throws IOException {
        List<String> ran = new ArrayList<>();
        Rig.log("%s", what);
        try (Rig.Client client = new Rig.Client(router.ip, router.front)) {
            for (int i = 0; i < count; i++) {
                Rig.Call call = client.call("POST", "h.example", "/book/x", "Authorization: Token " + key + "\r\n", new byte[600], 4000);
                ANSWERS.merge(what + " -> " + call.outcome(), 1, Integer::sum);
                if (RUN.contains(call.id)) {
                    ran.add(call.id);
                }
                Rig.sleep(100);
            }
        }
        return ran;
    }

    public static void main(String[] arguments) throws Exception {
        Path temporary = Rig.temporary("case13");
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
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(new Shop(store, i));
        }
        store.put("op/config", config(5, tenant("\"" + KEY + "\"")));
        workers.forEach(worker -> worker.register("ready"));
        int peerPort = Rig.freePort("127.0.1.13");
        Rig.Router router = new Rig.Router(temporary, "front-za-1", "127.0.1.13", "za", peerPort, List.of("127.0.1.13"), store.server.at(), 8);
        router.start();
        router.awaitReady(20_000);
        for (Rig.Worker worker : workers) {
            Rig.daemon("beats", () -> {
                while (true) {
                    Rig.sleep(1200);
                    worker.register("ready");
                }
            });
        }
        if (send(router, "with the key, before", KEY, 10).size() < 10) {
            throw new IllegalStateException("requests are not served before the key is taken away");
        }
        // Without the disruption, the configurations change and the tenant keeps its key.
        store.put("op/config", config(7, tenant(Rig.TROUBLE ? "" : "\"" + KEY + "\"")));
        long takenAway = Rig.now();
        Rig.sleep(REVOKE_MILLIS + 500);
        List<String> afterFirst = send(router, "with the key, 5.5 s after the key was taken away", KEY, 10);
        store.put("op/config", config(9, Rig.TROUBLE ? "[]" : tenant("\"" + KEY + "\"")));
        Rig.sleep(REVOKE_MILLIS + 500);
        List<String> afterSecond = send(router, "with the key, 5.5 s after the empty tenant was removed", KEY, 20);
        List<String> neverHeld = send(router, "with a key that no configuration held", NEVER_HELD, 10);
        ANSWERS.forEach((what, count) -> Rig.log("%d times: %s", count, what));
        Rig.log("the key was taken away at %.3f; ran with it, sent later than revokeMs after that: %d and, after the tenant was removed, %d; ran with a key never held: %d",
                takenAway / 1e3, Rig.TROUBLE ? afterFirst.size() : 0, Rig.TROUBLE ? afterSecond.size() : 0, neverHeld.size());
        boolean broken = !neverHeld.isEmpty() || (Rig.TROUBLE && afterFirst.size() + afterSecond.size() > 0);
        return broken ? 1 : 0;
    }
}
