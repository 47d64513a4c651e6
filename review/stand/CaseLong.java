import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A worker turns slow, so that some requests take over a minute, which their route and their clients allow. */
final class CaseLong {
    private static final int NODES = 3;
    private static final int CLIENTS_PER_NODE = 8;
    private static final long USUAL_MILLIS = 57_000;
    private static final double SLOW = 5.0;
    private static final long SLOW_MILLIS = 6_500;
    private static final long TIMEOUT_MILLIS = 80_000;
    private static final String KEY = "key1key1key1key1";

    private CaseLong() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand.openRecord(Path.of(arguments[1]));
        Stand.Store store = new Stand.Store("127.0.11.1", NODES);
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        List<Stand.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Stand.Worker("127.0.12." + (i + 1), "i-report" + i, "report", zones[i % 3], USUAL_MILLIS));
        }
        Stand.Worker quick = new Stand.Worker("127.0.13.1", "i-quick", "quick", zones[0], 20);
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-report\",\"host\":\"shop.example\","
                + "\"prefix\":\"/report/\",\"kind\":\"non_idempotent\",\"timeoutMs\":" + TIMEOUT_MILLIS
                + ",\"targetLatencyMs\":30000,\"priority\":2,\"service\":\"report\",\"maxAttempts\":1,\"public\":false},"
                + "{\"name\":\"r-quick\",\"host\":\"shop.example\",\"prefix\":\"/quick/\",\"kind\":\"non_idempotent\","
                + "\"timeoutMs\":4000,\"targetLatencyMs\":386,\"priority\":2,\"service\":\"quick\",\"maxAttempts\":1,"
                + "\"public\":false}],\"services\":["
                + "{\"name\":\"report\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\",\"tls\":false},"
                + "{\"name\":\"quick\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}");
        workers.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
        store.put("servers/" + quick.id, quick.entry("ready"));
        List<Stand.Node> nodes = Stand.startNodes(folder, NODES, store);
        Stand.sleep(5_000);
        if (trouble) {
            // One of four workers is slow for 6.5 s, while it works on its requests.
            Stand.Worker slow = workers.get(0);
            slow.slowness = SLOW;
            slow.slowUntilMillis = Stand.now() + 10_000 + SLOW_MILLIS;
            slow.slowFromMillis = Stand.now() + 10_000;
        }
        ConcurrentLinkedQueue<Stand.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (Stand.Node node : nodes) {
            for (int c = 0; c < CLIENTS_PER_NODE; c++) {
                String name = node.ip + "-" + c;
                clients.add(Stand.thread("client", () -> {
                    Stand.KeptClient client = new Stand.KeptClient(node.ip, node.front);
                    client.request("POST", "/quick/1", "shop.example", "quick-" + name, KEY, 4_000, new byte[100]);
                    outcomes.add(client.request("POST", "/report/1", "shop.example", "report-" + name, KEY,
                            TIMEOUT_MILLIS, new byte[600]));
                    client.close();
                }));
                Stand.sleep(60);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        nodes.forEach(Stand.Node::end);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        workers.forEach(worker -> worker.arrivals.forEach(arrival -> ran.add((String) arrival[1])));
        int lost = 0;
        for (Stand.Outcome outcome : outcomes) {
            if (outcome.status == 0 && ran.contains(outcome.id)
                    && outcome.endMillis - outcome.sentMillis < TIMEOUT_MILLIS) {
                lost++;
                Stand.log("lost: %s", outcome);
            }
        }
        long served = outcomes.stream().filter(o -> o.status == 200).count();
        Stand.say("requests %d, served %d, refused %d; sent on to a worker and the connection closed without an answer: %d",
                outcomes.size(), served, outcomes.stream().filter(o -> o.status == 503).count(), lost);
        boolean broken = lost > 3;
        Stand.say(broken ? "LOST is broken" : "LOST held");
        System.exit(served + lost < 16 ? 2 : broken ? 1 : 0);
    }
}
