import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Many users come at once, with bodies that the configuration allows. */
final class CaseBodies {
    private static final int NODES = 3;
    private static final int BODY_BYTES = Integer.getInteger("body", 2_500_000);
    private static final double USUAL_PER_SECOND = Double.parseDouble(System.getProperty("rate", "4"));
    private static final double BURST = 2.5;
    private static final long BURST_MILLIS = 5_600;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String KEY = "key1key1key1key1";

    private CaseBodies() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand.openRecord(Path.of(arguments[1]));
        Stand.Store store = new Stand.Store("127.0.11.1", NODES);
        List<Stand.Worker> engines = new ArrayList<>();
        List<Stand.Worker> workers = new ArrayList<>();
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        for (int i = 0; i < 3; i++) {
            Stand.Worker engine = new Stand.Worker("127.0.12." + (i + 1), "i-engine" + i, "model", zones[i], 0);
            engine.events = 12;
            engine.eventMillis = 250;
            engines.add(engine);
            workers.add(new Stand.Worker("127.0.13." + (i + 1), "i-worker" + i, "booking", zones[i], 86));
        }
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-brief\",\"host\":\"shop.example\","
                + "\"prefix\":\"/brief/\",\"kind\":\"stream\",\"timeoutMs\":" + TIMEOUT_MILLIS + ",\"targetLatencyMs\":2500,"
                + "\"targetGapMs\":300,\"priority\":1,\"service\":\"model\",\"maxAttempts\":1,\"public\":false,"
                + "\"streamResume\":false,\"sessionAffinity\":true},"
                + "{\"name\":\"r-confirm\",\"host\":\"shop.example\","
                + "\"prefix\":\"/confirm/\",\"kind\":\"non_idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":386,"
                + "\"priority\":2,\"service\":\"booking\",\"maxAttempts\":1,\"public\":false}],"
                + "\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConnections\":270,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacityTokens\":604054,"
                + "\"kvTokenBytes\":163840,\"linkMbps\":740000.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"booking\",\"healthPath\":\"/healthz\",\"maxConnections\":48,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}");
        engines.forEach(engine -> store.put("servers/" + engine.id, engine.entry("ready")));
        workers.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
        List<Stand.Node> nodes = Stand.startNodes(folder, NODES, store);

        ConcurrentLinkedQueue<Stand.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        Map<String, Stand.Outcome> unused = new ConcurrentHashMap<>();
        Set<Thread> threads = ConcurrentHashMap.newKeySet();
        byte[] body = new byte[BODY_BYTES];
        long startMillis = Stand.now();
        long burstMillis = startMillis + 6_000;
        long usualMillis = burstMillis + BURST_MILLIS;
        long endMillis = usualMillis + 4_000;
        List<ConcurrentLinkedDeque<Stand.KeptClient>> idle = new ArrayList<>();
        nodes.forEach(node -> idle.add(new ConcurrentLinkedDeque<>()));
        double next = startMillis;
        for (int n = 0; next < endMillis; n++) {
            boolean burst = trouble && next >= burstMillis && next < usualMillis;
            Stand.sleepUntil((long) next);
            for (int k = 0; k < NODES; k++) {
                Stand.Node node = nodes.get(k);
                ConcurrentLinkedDeque<Stand.KeptClient> free = idle.get(k);
                String id = "brief-" + k + "-" + n;
                threads.add(Stand.thread(id, () -> {
                    Stand.KeptClient client = free.pollFirst();
                    if (client == null) {
                        client = new Stand.KeptClient(node.ip, node.front);
                    }
                    outcomes.add(client.request("POST", "/brief/1", "shop.example", id, KEY, TIMEOUT_MILLIS, body));
                    free.addFirst(client);
                }));
            }
            next += 1_000 / (USUAL_PER_SECOND * (burst ? BURST : 1));
        }
        // Small requests on new connections, from ten seconds after the burst.
        Stand.sleepUntil(usualMillis + 10_000);
        ConcurrentLinkedQueue<Stand.Outcome> small = new ConcurrentLinkedQueue<>();
        for (int n = 0; n < 10; n++) {
            for (Stand.Node node : nodes) {
                String id = "confirm-" + node.ip + "-" + n;
                threads.add(Stand.thread(id, () -> {
                    Stand.KeptClient client = new Stand.KeptClient(node.ip, node.front);
                    small.add(client.request("POST", "/confirm/1", "shop.example", id, KEY, 4_000, new byte[600]));
                    client.close();
                }));
            }
            Stand.sleep(500);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Set<String> ran = ConcurrentHashMap.newKeySet();
        engines.forEach(engine -> engine.arrivals.forEach(arrival -> ran.add((String) arrival[1])));
        int lost = 0;
        int silent = 0;
        Map<String, Integer> ends = new TreeMap<>();
        for (Stand.Outcome outcome : outcomes) {
            boolean unanswered = outcome.status == 0;
            boolean timedOut = outcome.endMillis - outcome.sentMillis >= TIMEOUT_MILLIS + 500;
            ends.merge(unanswered ? "no answer" : Integer.toString(outcome.status), 1, Integer::sum);
            if (unanswered && outcome.whole && ran.contains(outcome.id) && !timedOut) {
                lost++;
                Stand.log("lost: %s", outcome);
            }
            if (unanswered && outcome.whole && timedOut) {
                silent++;
                Stand.log("silent: %s", outcome);
            }
        }
        Stand.say("streams by their answers: %s, of %d", ends, outcomes.size());
        int hung = 0;
        int smallSilent = 0;
        for (Stand.Outcome outcome : small) {
            if (outcome.status == 0) {
                smallSilent++;
                Stand.log("silent: %s", outcome);
            }
        }
        for (Stand.Node node : nodes) {
            long answered = small.stream().filter(o -> o.node.equals(node.ip) && o.status > 0).count();
            boolean alive = node.process.isAlive();
            boolean ready = node.isReady();
            long memoryErrors = Files.readAllLines(node.output).stream().filter(l -> l.contains("OutOfMemoryError")).count();
            Stand.say("node %s: process runs %s, ready %s, small requests answered %d of 10, lines with OutOfMemoryError %d",
                    node.ip, alive, ready, answered, memoryErrors);
            hung += alive && answered == 0 ? 1 : 0;
        }
        nodes.forEach(Stand.Node::end);
        Stand.say("streams without an answer half a second after the route's time: %d, and closed without one before: %d;"
                + " small requests without an answer, from 10 s after the burst: %d of %d; processes that run and answer"
                + " nothing any more: %d", silent, lost, smallSilent, small.size(), hung);
        // A request that is unanswered at its route's time has to be answered half a second later.
        boolean broken = silent >= 8 || hung > 0;
        Stand.say(broken ? "CONFIG is broken" : "CONFIG held");
        System.exit(broken ? 1 : 0);
    }
}
