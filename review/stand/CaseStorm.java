import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A large configuration changes often while the store turns one of three machines away; after that, a worker leaves.
 */
final class CaseStorm {
    private static final int NODES = 3;
    private static final int CLIENTS_PER_NODE = 6;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long TURNED_AWAY_MILLIS = 9_000;
    private static final int STORMS = 4;
    private static final int VERSIONS_PER_STORM = 25;
    private static final long GAP_MILLIS = 60;
    private static final long STORM_EVERY_MILLIS = 1_900;
    private static final int MORE_ROUTES = 380;

    private CaseStorm() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand.openRecord(Path.of(arguments[1]));
        Stand.Store store = new Stand.Store("127.0.11.1", NODES);
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        List<Stand.Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(new Stand.Worker("127.0.12." + (i + 1), "i-worker" + i, "booking", zones[i], i == 0 ? 300 : 330));
        }
        store.put("op/config", config(7, 4_000));
        workers.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
        List<Stand.Node> nodes = Stand.startNodes(folder, NODES, store);

        ConcurrentLinkedQueue<Stand.Outcome> outcomes = new ConcurrentLinkedQueue<>();
        long startMillis = Stand.now();
        long endMillis = startMillis + 30_000;
        SplittableRandom random = new SplittableRandom(Long.getLong("seed", System.nanoTime()));
        List<Thread> clients = new ArrayList<>();
        for (Stand.Node node : nodes) {
            for (int c = 0; c < CLIENTS_PER_NODE; c++) {
                SplittableRandom own = random.split();
                String name = node.ip + "-" + c;
                clients.add(Stand.thread("client", () -> {
                    Stand.KeptClient client = new Stand.KeptClient(node.ip, node.front);
                    for (int n = 0; Stand.now() < endMillis; n++) {
                        outcomes.add(client.request("POST", "/confirm/1", "shop.example", name + "-" + n,
                                "key1key1key1key1", 4_000, new byte[600]));
                        Stand.sleep(own.nextLong(200, 600));
                    }
                    client.close();
                }));
            }
        }
        long awayMillis = startMillis + 5_000;
        Stand.sleepUntil(awayMillis);
        if (trouble) {
            Stand.log("the store turns machine 0 away");
            store.setSilent(0, true);
        }
        for (int n = 0; n < STORMS * VERSIONS_PER_STORM; n++) {
            long stormMillis = awayMillis + 500 + n / VERSIONS_PER_STORM * STORM_EVERY_MILLIS;
            Stand.sleepUntil(stormMillis + n % VERSIONS_PER_STORM * GAP_MILLIS);
            store.put("op/config", config(8 + 3 * n, 4_000 - 2 * n));
            Stand.log("version %d is acknowledged", 8 + 3 * n);
        }
        Stand.sleepUntil(awayMillis + TURNED_AWAY_MILLIS);
        store.setSilent(0, false);
        long servedMillis = Stand.now();
        Stand.log("the store serves all machines");
        // A worker reports that it is draining, serves on for drainMs and some seconds, and exits.
        Stand.Worker leaving = workers.get(0);
        Stand.sleepUntil(servedMillis + 1_000);
        store.put("servers/" + leaving.id, leaving.entry("draining"));
        long drainingMillis = Stand.now();
        Stand.log("%s is draining", leaving.id);
        Stand.sleepUntil(drainingMillis + 6_000);
        store.remove("servers/" + leaving.id);
        leaving.end();
        Stand.log("worker %s has ended; it was at work on %s", leaving.id, leaving.cut);
        for (Thread client : clients) {
            client.join();
        }
        nodes.forEach(Stand.Node::end);

        long boundMillis = Math.max(drainingMillis + DRAIN_MILLIS, trouble ? servedMillis + CONTACT_MILLIS : 0);
        int late = 0;
        for (Object[] arrival : leaving.arrivals) {
            long at = (Long) arrival[0];
            Stand.Outcome outcome =
                    outcomes.stream().filter(o -> o.id.equals(arrival[1])).findFirst().orElse(null);
            if (at > boundMillis && outcome != null && outcome.sentMillis > boundMillis) {
                late++;
                Stand.log("late: reaches the worker %.3f s after it reported draining, %.3f s after the store served the"
                        + " machine again; %s", (at - drainingMillis) / 1e3, (at - servedMillis) / 1e3, outcome);
            }
        }
        long lost = outcomes.stream().filter(o -> leaving.cut.contains(o.id) && o.status != 200).count();
        Stand.say("requests %d, served %d, with 503 %d", outcomes.size(),
                outcomes.stream().filter(o -> o.status == 200).count(),
                outcomes.stream().filter(o -> o.status == 503).count());
        Stand.say("requests that machines in touch sent to a worker that had reported draining for longer than drainMs: %d;"
                + " lost when it ended: %d", late, lost);
        Stand.say(late > 0 ? "DRAIN is broken" : "DRAIN held");
        System.exit(outcomes.size() < 300 ? 2 : late > 0 ? 1 : 0);
    }

    /** A configuration of many routes. */
    private static String config(long version, int timeoutMillis) {
        StringBuilder routes = new StringBuilder("{\"name\":\"r-confirm\",\"host\":\"shop.example\","
                + "\"prefix\":\"/confirm/\",\"kind\":\"non_idempotent\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":386,\"priority\":2,\"service\":\"booking\",\"maxAttempts\":1,\"public\":true}");
        // The routes that big_config adds look like those of the pages' example.
        for (int i = 0; i < MORE_ROUTES; i++) {
            routes.append(",{\"name\":\"r-th5mgjy").append(i).append("\",\"host\":\"jepu9.example\",\"prefix\":\"/cufi501/fi50/")
                    .append(i).append("/\",\"kind\":\"stream\",\"timeoutMs\":15000,\"targetLatencyMs\":2500,\"priority\":1,"
                    + "\"service\":\"booking\",\"maxAttempts\":1,\"stages\":[{\"service\":\"kafi81c\",\"after\":[],"
                    + "\"bytes\":8000},{\"service\":\"lovo22d\",\"after\":[0],\"bytes\":60000},{\"service\":\"lohu93e\","
                    + "\"after\":[1],\"bytes\":6000}],\"public\":false,\"sessionAffinity\":true,\"streamResume\":false,"
                    + "\"targetGapMs\":300}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
                + "{\"name\":\"booking\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\","
                + "\"tls\":false},"
                + "{\"name\":\"kafi81c\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":7,\"callMs\":240.0,\"itemMs\":29.7,\"headroomMb\":8.4,\"handleS\":4.0,\"linkMbps\":10000}},"
                + "{\"name\":\"lovo22d\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":17,\"callMs\":240.0,\"itemMs\":11.8,\"headroomMb\":1.785,\"handleS\":4.0,\"linkMbps\":10000}},"
                + "{\"name\":\"lohu93e\",\"healthPath\":\"/healthz\",\"maxConnections\":270,\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":24,\"callMs\":240.0,\"itemMs\":8.5,\"headroomMb\":0.274,\"handleS\":4.0,\"linkMbps\":10000}}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[\"key1key1key1key1\"],\"priority\":1}]}";
    }
}
