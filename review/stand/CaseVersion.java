import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The workers of a model are replaced one after the other by workers with new weights, while a few requests still
 * name the version of the old ones.
 */
final class CaseVersion {
    private static final int NODES = 3;
    private static final int CLIENTS_PER_NODE = 3;
    private static final String KEY = "key1key1key1key1";

    private CaseVersion() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand.openRecord(Path.of(arguments[1]));
        Stand.Store store = new Stand.Store("127.0.11.1", NODES);
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        List<Stand.Worker> old = new ArrayList<>();
        List<Stand.Worker> booking = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            old.add(engine("127.0.12." + (i + 1), "i-old" + i, zones[i % 3], 1));
        }
        for (int i = 0; i < 3; i++) {
            booking.add(new Stand.Worker("127.0.13." + (i + 1), "i-worker" + i, "booking", zones[i], 86));
        }
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-tag\",\"host\":\"shop.example\","
                + "\"prefix\":\"/tag/\",\"kind\":\"stream\",\"timeoutMs\":6000,\"targetLatencyMs\":3000,"
                + "\"targetGapMs\":300,\"priority\":2,\"service\":\"model\",\"maxAttempts\":2,\"public\":false,"
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
        old.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
        booking.forEach(worker -> store.put("servers/" + worker.id, worker.entry("ready")));
        List<Stand.Node> nodes = Stand.startNodes(folder, NODES, store);

        long startMillis = Stand.now();
        long endMillis = startMillis + 85_000;
        ConcurrentLinkedQueue<Stand.Outcome> tags = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Stand.Outcome> confirms = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Stand.Outcome> pinned = new ConcurrentLinkedQueue<>();
        SplittableRandom random = new SplittableRandom(Long.getLong("seed", System.nanoTime()));
        List<Thread> clients = new ArrayList<>();
        for (Stand.Node node : nodes) {
            for (int c = 0; c < CLIENTS_PER_NODE; c++) {
                SplittableRandom own = random.split();
                String name = node.ip + "-" + c;
                clients.add(Stand.thread("client", () -> {
                    Stand.KeptClient client = new Stand.KeptClient(node.ip, node.front);
                    for (int n = 0; Stand.now() < endMillis; n++) {
                        String model = "X-Model: m\r\nX-Token-Counts: 2368,24\r\nX-Prompt-Prefix: 5c1e07a2:568,"
                                + Integer.toHexString(own.nextInt(1 << 30)) + ":1800\r\n";
                        // One in ten names the version that its client has seen before.
                        boolean pins = own.nextInt(10) == 0;
                        client.more = model + (pins ? "X-Expect-Version: 1\r\n" : "");
                        Stand.Outcome tag = client.request("POST", "/tag/1", "shop.example",
                                (pins ? "pinned-" : "tag-") + name + "-" + n, KEY, 6_000, new byte[2_400]);
                        (pins ? pinned : tags).add(tag);
                        client.more = "";
                        confirms.add(client.request("POST", "/confirm/1", "shop.example", "confirm-" + name + "-" + n,
                                KEY, 4_000, new byte[600]));
                        Stand.sleep(own.nextLong(200, 600));
                    }
                    client.close();
                }));
            }
        }
        List<Stand.Worker> engines = new ArrayList<>(old);
        // Two releases, each of half of the workers, one worker at a time.
        long[] replacedMillis = {1_000, 2_100, 4_500, 5_600};
        for (int i = 0; i < 4 && trouble; i++) {
            Stand.sleepUntil(startMillis + replacedMillis[i]);
            Stand.Worker fresh = engine("127.0.14." + (i + 1), "i-new" + i, zones[i % 3], 2);
            engines.add(fresh);
            store.put("servers/" + fresh.id, fresh.entry("ready"));
            Stand.Worker leaving = old.get(i);
            store.put("servers/" + leaving.id, leaving.entry("draining"));
            Stand.log("%s is replaced by %s", leaving.id, fresh.id);
            Stand.thread("leaving", () -> {
                Stand.sleep(3_500);
                store.remove("servers/" + leaving.id);
                try {
                    leaving.end();
                } catch (java.io.IOException e) {
                    Stand.log("%s: %s", leaving.id, e.getMessage());
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        nodes.forEach(Stand.Node::end);
        long tagsServed = served(tags);
        long served = tagsServed + served(confirms);
        long lastMillis = endMillis - 30_000;
        long late = tags.stream().filter(o -> o.sentMillis > lastMillis).count();
        long lateServed = tags.stream().filter(o -> o.sentMillis > lastMillis && o.status == 200).count();
        long lateRefused = tags.stream().filter(o -> o.sentMillis > lastMillis && o.status == 503).count();
        double share = tagsServed / (double) tags.size();
        double all = served / (double) (tags.size() + confirms.size());
        Stand.say("tags that name no version: %d of %d served; confirms: %d of %d; tags that name version 1: %d, of them"
                + " served %d", tagsServed, tags.size(), served(confirms), confirms.size(), pinned.size(), served(pinned));
        Stand.say("in the last 30 s %d of %d tags that name no version were served, %d refused with 503; runs of the %d"
                + " new workers in all: %d", lateServed, late, lateRefused, engines.size() - old.size(),
                engines.stream().filter(e -> e.weights == 2).mapToInt(e -> e.runs.get()).sum());
        boolean broken = share < all / 4;
        Stand.say(broken ? "Starved is broken" : "Starved held");
        System.exit(confirms.size() < 300 ? 2 : broken ? 1 : 0);
    }

    private static Stand.Worker engine(String ip, String id, String zone, int weights) throws Exception {
        Stand.Worker engine = new Stand.Worker(ip, id, "model", zone, 0);
        engine.weights = weights;
        engine.events = 4;
        engine.eventMillis = 50;
        return engine;
    }

    private static long served(Iterable<Stand.Outcome> outcomes) {
        long served = 0;
        for (Stand.Outcome outcome : outcomes) {
            served += outcome.status == 200 ? 1 : 0;
        }
        return served;
    }
}
