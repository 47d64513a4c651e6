import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A worker leaves while the store turns two of six machines away. When the machines have been in touch again for
 * the time of the rules, they still send it requests.
 */
final class CaseLeaving {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long TURNED_AWAY_MILLIS = 3_600;
    private static final int NODES = 6;
    private static final int CLIENTS_PER_NODE = 10;

    private CaseLeaving() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand.openRecord(Path.of(arguments[1]));
        Stand.Store store = new Stand.Store("127.0.11.1", NODES);
        List<Stand.Worker> workers = new ArrayList<>();
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        for (int i = 0; i < 3; i++) {
            Stand.Worker worker = new Stand.Worker("127.0.12." + (i + 1), "i-engine" + i, "model", zones[i], 0);
            worker.events = 6;
            worker.eventMillis = 200;
            workers.add(worker);
        }
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-brief\",\"host\":\"shop.example\","
                + "\"prefix\":\"/brief/\",\"kind\":\"stream\",\"timeoutMs\":15000,\"targetLatencyMs\":2500,"
                + "\"targetGapMs\":300,\"priority\":1,\"service\":\"model\",\"maxAttempts\":1,\"public\":false,"
                + "\"streamResume\":false,\"sessionAffinity\":true}],"
                + "\"services\":[{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConnections\":270,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacityTokens\":604054,"
                + "\"kvTokenBytes\":163840,\"linkMbps\":740000.0,\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[\"key1key1key1key1\"],\"priority\":1}]}");
        for (Stand.Worker worker : workers) {
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        List<Stand.Node> nodes = Stand.startNodes(folder, NODES, store);
        ConcurrentLinkedQueue<Stand.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        long startMillis = Stand.now();
        long endMillis = startMillis + 18_000;
        SplittableRandom random = new SplittableRandom(Long.getLong("seed", System.nanoTime()));
        List<Thread> clients = new ArrayList<>();
        for (Stand.Node node : nodes) {
            for (int c = 0; c < CLIENTS_PER_NODE; c++) {
                SplittableRandom own = random.split();
                String name = node.ip + "-" + c;
                clients.add(Stand.thread("client", () -> {
                    Stand.KeptClient client = new Stand.KeptClient(node.ip, node.front);
                    for (int n = 0; Stand.now() < endMillis; n++) {
                        client.more = "X-Model: m\r\nX-Token-Counts: 826,40\r\nX-Prompt-Prefix: 5c1e07a2:198,"
                                + Integer.toHexString(own.nextInt(1 << 30)) + ":628\r\n";
                        outcomes.add(client.request("POST", "/brief/1", "shop.example", name + "-" + n,
                                "key1key1key1key1", 15_000, new byte[830]));
                        Stand.sleep(own.nextLong(200, 600));
                    }
                    client.close();
                }));
            }
        }
        // The store turns the machines 0 and 3 away: it answers them nothing, and serves the others.
        long awayMillis = startMillis + 5_000;
        long backMillis = awayMillis + TURNED_AWAY_MILLIS;
        Stand.sleepUntil(awayMillis);
        if (trouble) {
            Stand.log("the store turns two machines away");
            store.setSilent(0, true);
            store.setSilent(3, true);
        }
        // A worker that never reports draining leaves: its entry is removed, and it serves on for some seconds.
        Stand.sleepUntil(backMillis - 1_500);
        Stand.Worker leaving = workers.stream().max(Comparator.comparingInt(w -> w.runs.get())).orElseThrow();
        store.remove("servers/" + leaving.id);
        long goneMillis = Stand.now();
        Stand.log("the entry of %s is removed", leaving.id);
        Stand.sleepUntil(backMillis);
        store.setSilent(0, false);
        store.setSilent(3, false);
        long servedMillis = Stand.now();
        Stand.log("the store serves all machines");
        Stand.sleepUntil(servedMillis + 3_900);
        leaving.end();
        Stand.log("worker %s has ended; it was at work on %s", leaving.id, leaving.cut);
        for (Thread client : clients) {
            client.join();
        }
        nodes.forEach(Stand.Node::end);

        // A machine is in touch again contactMs after the store serves it; the other bound is drainMs.
        long boundMillis = Math.max(goneMillis + DRAIN_MILLIS, trouble ? servedMillis + CONTACT_MILLIS : 0);
        int late = 0;
        int lateAnyway = 0;
        for (Object[] arrival : leaving.arrivals) {
            long at = (Long) arrival[0];
            String id = (String) arrival[1];
            Stand.Outcome outcome = outcomes.stream().filter(o -> o.id.equals(id)).findFirst().orElse(null);
            boolean sentLate = outcome != null && outcome.sentMillis > boundMillis;
            if (at > goneMillis + DRAIN_MILLIS) {
                lateAnyway++;
            }
            if (at > boundMillis && sentLate) {
                late++;
                Stand.log("late: %s reaches the worker %.3f s after its entry was removed, %.3f s after the store served"
                        + " the machine again; %s", id, (at - goneMillis) / 1e3, (at - servedMillis) / 1e3, outcome);
            }
        }
        long ok = outcomes.stream().filter(o -> o.status == 200).count();
        long lost = outcomes.stream().filter(o -> leaving.cut.contains(o.id) && o.status != 200)
                .filter(o -> o.sentMillis > boundMillis).count();
        Stand.say("requests %d, answered with 200 %d, with 503 %d, others %d; runs of all workers %d", outcomes.size(), ok,
                outcomes.stream().filter(o -> o.status == 503).count(),
                outcomes.stream().filter(o -> o.status != 200 && o.status != 503).count(),
                workers.stream().mapToInt(w -> w.runs.get()).sum());
        Stand.say("after the leaving and drainMs %d requests reached the worker, %d of them were taken by machines in touch;"
                + " %d of these were lost when it ended", lateAnyway, late, lost);
        if (ok < 300) {
            Stand.say("too few requests were served");
            System.exit(2);
        }
        Stand.say(late > 0 ? "DRAIN is broken" : "DRAIN held");
        System.exit(late > 0 ? 1 : 0);
    }
}
