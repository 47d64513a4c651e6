import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins for the platform's store, workers and clients, and a launcher of the system's processes. */
final class Stand {
    static final long T0 = System.nanoTime();

    /** A script may run for 120 s. */
    private static final long MAX_RUN_MILLIS = 117_000;

    private static final ScheduledExecutorService TIMERS = timers();
    private static PrintWriter record;

    static {
        // A case that can't run must not look like one that failed.
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            log("%s ended by %s", thread.getName(), error);
            error.printStackTrace();
            if (thread.getName().equals("main")) {
                System.exit(2);
            }
        });
    }

    private Stand() {}

    static long now() {
        return (System.nanoTime() - T0) / 1_000_000;
    }

    /** Opens the record and limits the time of the run. */
    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file));
        TIMERS.schedule(() -> {
            log("the run takes too long");
            System.exit(2);
        }, MAX_RUN_MILLIS, TimeUnit.MILLISECONDS);
    }

    static void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now() / 1e3) + String.format(Locale.ROOT, format, values);
        synchronized (Stand.class) {
            if (record != null) {
                record.println(line);
                record.flush();
            }
        }
    }

    static void say(String format, Object... values) {
        log(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(long atMillis) {
        sleep(atMillis - now());
    }

    static Thread thread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the first of 32 ports that are free on all addresses. */
    static int freeBase(List<String> ips) throws IOException {
        for (int i = 0; i < 300; i++) {
            int base = 20_000 + (int) ((ProcessHandle.current().pid() + i) % 300) * 32;
            if (areFree(ips, base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(List<String> ips, int base) {
        for (String ip : ips) {
            for (int port = base; port < base + 32; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                    socket.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** The head and body of a message. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete = true;
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    /** Reads a message whose body has a length or chunks, or ends with the connection (responses). */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        message.first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
        } else if (message.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(message.headers.get("Content-Length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the body ended early");
            }
            body.write(bytes);
        } else if (response) {
            body.write(in.readAllBytes());
        }
        message.body = body.toByteArray();
        return message;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    static void write(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            log("close failed: %s", e.getMessage());
        }
    }

    /** The platform's store, for readers. */
    static final class Store {
        /** The time for which changes are kept; later, a watch from before them gets 410. */
        private static final long HISTORY_MILLIS = 20_000;

        private final List<ServerSocket> doors = new ArrayList<>();
        private final List<AtomicInteger> silences = new ArrayList<>();
        private final List<AtomicInteger> silent = new ArrayList<>();
        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<String[]> history = new ArrayList<>();
        private long revision = 100;
        private long forgotten;

        private record Item(long revision, long created, String value) {}

        /** Opens one address for each machine, so that the store can turn single machines away. */
        Store(String ip, int machines) throws IOException {
            for (int i = 0; i < machines; i++) {
                ServerSocket door = new ServerSocket(0, 256, InetAddress.getByName(ip));
                int number = i;
                doors.add(door);
                silences.add(new AtomicInteger());
                silent.add(new AtomicInteger());
                thread("store", () -> accept(door, socket -> serve(socket, number)));
            }
        }

        String address(int machine) {
            ServerSocket door = doors.get(machine);
            return door.getInetAddress().getHostAddress() + ":" + door.getLocalPort();
        }

        synchronized void put(String key, String json) {
            revision++;
            long created = items.containsKey(key) ? items.get(key).created() : revision;
            String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
            items.put(key, new Item(revision, created, value));
            history.add(new String[] {Long.toString(revision), key, itemJson(key, items.get(key)),
                Long.toString(now())});
            notifyAll();
        }

        synchronized void remove(String key) {
            revision++;
            items.remove(key);
            history.add(new String[] {Long.toString(revision), key,
                "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}", Long.toString(now())});
            notifyAll();
        }

        /**
         * While silent towards a machine, the store accepts its connections and calls and answers nothing. The
         * calls that wait then are lost.
         */
        void setSilent(int machine, boolean now) {
            if (now) {
                silences.get(machine).incrementAndGet();
            }
            silent.get(machine).set(now ? 1 : 0);
        }

        private static String itemJson(String key, Item item) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                    + ",\"created\":" + item.created() + ",\"lease\":0}";
        }

        private void serve(Socket socket, int machine) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Message request = read(in, false);
                int silencesBefore = silences.get(machine).get();
                boolean lost = silent.get(machine).get() == 1;
                String answer = lost ? null : answer(request.first.split(" ")[1]);
                if (lost || silences.get(machine).get() != silencesBefore) {
                    // A connection on which an answer is lost returns nothing further.
                    while (in.read() >= 0) { }
                    return;
                }
                int status = answer == null ? 404 : answer.isEmpty() ? 410 : 200;
                if (answer != null && answer.length() > 5_000_000) {
                    log("the store answers machine %d with %d bytes", machine, answer.length());
                }
                write(socket.getOutputStream(), status, Map.of("Content-Type", "application/json"),
                        (status == 200 ? answer : "{}").getBytes(StandardCharsets.UTF_8));
            }
        }

        private synchronized String answer(String target) {
            Map<String, String> query = query(target);
            String prefix = query.getOrDefault("prefix", "");
            if (target.startsWith("/-/kv-key")) {
                Item item = items.get(query.get("key"));
                return item == null ? null
                        : itemJson(query.get("key"), item).replaceFirst("}$", ",\"storeRevision\":" + revision + "}");
            }
            if (target.startsWith("/-/kv-range")) {
                List<String> found = new ArrayList<>();
                items.forEach((key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(query.getOrDefault("after", "")) > 0) {
                        found.add(itemJson(key, item));
                    }
                });
                return "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"storeRevision\":" + revision + "}";
            }
            long after = Long.parseLong(query.get("after"));
            while (!history.isEmpty() && now() - Long.parseLong(history.get(0)[3]) > HISTORY_MILLIS) {
                forgotten = Long.parseLong(history.remove(0)[0]);
            }
            if (after < forgotten) {
                return "";
            }
            long until = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            List<String> events = events(prefix, after);
            while (events.isEmpty() && now() < until) {
                try {
                    wait(Math.max(1, Math.min(20, until - now())));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
                events = events(prefix, after);
            }
            return "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}";
        }

        private List<String> events(String prefix, long after) {
            List<String> events = new ArrayList<>();
            for (String[] entry : history) {
                if (Long.parseLong(entry[0]) > after && entry[1].startsWith(prefix)) {
                    events.add(entry[2]);
                }
            }
            return events;
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String part : target.substring(mark + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals),
                            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }
    }

    interface Handler {
        void serve(Socket socket) throws IOException;
    }

    static void accept(ServerSocket server, Handler handler) {
        accept(server, handler, ConcurrentHashMap.newKeySet());
    }

    static void accept(ServerSocket server, Handler handler, Set<Socket> open) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread("connection", () -> {
                    try (socket) {
                        handler.serve(socket);
                    } catch (IOException e) {
                        // The peer has closed the connection.
                    } finally {
                        open.remove(socket);
                    }
                });
            } catch (IOException e) {
                if (!server.isClosed()) {
                    log("accept failed: %s", e.getMessage());
                }
            }
        }
    }

    /** A plain worker: runs a request for a time and answers it with its seal. */
    static final class Worker {
        final String id;
        final String service;
        final String zone;
        final ServerSocket server;
        final long workMillis;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final List<Object[]> arrivals = new CopyOnWriteArrayList<>();
        final Set<String> running = ConcurrentHashMap.newKeySet();
        final Set<String> cut = ConcurrentHashMap.newKeySet();
        final AtomicInteger runs = new AtomicInteger();
        volatile int events;
        volatile long eventMillis;
        /** The version of the weights; 0 for a worker without a model. */
        volatile int weights;
        /** From when to when the worker is slow, and how many times as long its work takes then. */
        volatile long slowFromMillis = Long.MAX_VALUE;
        volatile long slowUntilMillis = Long.MAX_VALUE;
        volatile double slowness = 1;
        volatile boolean ended;

        Worker(String ip, String id, String service, String zone, long workMillis) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.workMillis = workMillis;
            server = new ServerSocket(0, 256, InetAddress.getByName(ip));
            thread("worker " + id, () -> accept(server, this::serve, open));
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        String entry(String state) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
                    + "\",\"coldRemainingMs\":0,\"sequence\":1}";
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!ended) {
                Message request = read(in, false);
                String attempt = request.headers.get("X-Attempt-Id");
                Map<String, String> headers = new LinkedHashMap<>();
                if (attempt != null) {
                    headers.put("X-Attempt-Id", attempt);
                }
                String expected = request.headers.get("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    headers.put("X-Instance-Id", id);
                    write(socket.getOutputStream(), 421, headers, new byte[0]);
                    continue;
                }
                String version = request.headers.get("X-Expect-Version");
                if (weights > 0 && version != null && !version.equals(Integer.toString(weights))) {
                    log("worker %s has version %d: 421 to %s", id, weights, attempt);
                    write(socket.getOutputStream(), 421, headers, new byte[0]);
                    continue;
                }
                if (weights > 0) {
                    headers.put("X-Weight-Versions", Integer.toString(weights));
                }
                if (attempt == null) {
                    headers.put("X-Not-Executed", "1");
                    write(socket.getOutputStream(), 400, headers, new byte[0]);
                    continue;
                }
                arrivals.add(new Object[] {now(), attempt, request.headers.get("X-Tenant")});
                running.add(attempt);
                log("worker %s runs %s", id, attempt);
                runs.incrementAndGet();
                if (events > 0) {
                    stream(socket.getOutputStream(), attempt, headers);
                    running.remove(attempt);
                    continue;
                }
                work();
                if (ended) {
                    return;
                }
                headers.put("X-Server-Seal", "seal." + id + "." + attempt);
                headers.put("Keep-Alive", "timeout=10");
                byte[] body = ("answer " + attempt).getBytes(StandardCharsets.UTF_8);
                running.remove(attempt);
                write(socket.getOutputStream(), 200, headers, body);
            }
        }

        /** Works on a request; the part that is done while the worker is slow takes longer. */
        private void work() {
            if (slowFromMillis == Long.MAX_VALUE) {
                sleep(workMillis);
                return;
            }
            double left = workMillis;
            for (long at = now(); left > 0 && !ended; ) {
                sleep(Math.min(20, Math.max(1, Math.round(left))));
                long next = now();
                boolean slow = next >= slowFromMillis && next < slowUntilMillis;
                left -= (next - at) / (slow ? slowness : 1);
                at = next;
            }
        }

        /** Answers with a stream of events, in chunks. */
        private void stream(OutputStream out, String attempt, Map<String, String> headers) throws IOException {
            headers.put("X-Server-Seal", "seal." + id + "." + attempt);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= events; event++) {
                String text = "id: " + event + "\ndata: event " + event + " of " + attempt + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
                sleep(eventMillis);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** Exits: the port is closed and all connections are reset. */
        void end() throws IOException {
            ended = true;
            server.close();
            cut.addAll(running);
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    /** A process of the system, started as the deploy file says. */
    static final class Node {
        final String ip;
        final int front;
        final int ready;
        final int control;
        final int peer;
        final Path settings;
        final Path output;
        private final String run;
        Process process;

        Node(Path folder, String ip, String zone, int number, int[] ports, List<String> seedIps, String store)
                throws IOException {
            this.ip = ip;
            front = ports[0];
            ready = ports[1];
            control = ports[2];
            peer = ports[3];
            settings = folder.resolve("settings-" + number + ".toml");
            output = folder.resolve("node-" + number + ".log");
            List<String> seeds = new ArrayList<>();
            seedIps.forEach(seed -> seeds.add("\"" + seed + ":" + control + "\""));
            String text = String.join("\n",
                    "nodeName = \"front-" + zone + "-" + number + "\"", "role = \"router\"",
                    "machineClass = \"front\"", "serves = [\"front\",\"control\"]", "ip = \"" + ip + "\"",
                    "zone = \"" + zone + "\"", "region = \"tokachi\"",
                    "internalPortRange = [" + peer + "," + (peer + 15) + "]",
                    "seedNodes = [" + String.join(",", seeds) + "]", "bootstrap = true", "inFaultBudget = false",
                    "discovery = \"platform\"", "entry = \"vip\"", "heartbeatMs = 1200",
                    "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"]",
                    "[zones]", "obihiro-a = \"tokachi\"", "obihiro-b = \"tokachi\"", "otofuke = \"tokachi\"",
                    "[listen]", "front = \"" + ip + ":" + front + "\"", "ready = \"" + ip + ":" + ready + "\"",
                    "control = \"" + ip + ":" + control + "\"",
                    "[limits]", "cpuShare = 0.75", "cpuCores = 1", "memoryMb = 430", "maxFds = 4100",
                    "linkMbps = 1000.0", "diskMb = 0",
                    "[faultTolerance]", "machines = 2", "zones = 0", "regions = 0",
                    "[bounds]", "seedLagS = 3", "reuseAfterS = 2", "contactMs = 3000", "ackMs = 4000",
                    "catchUpS = 4", "drainMs = 2000", "graceS = 8", "lossSlackMs = 200", "configApplyMs = 2000",
                    "rollbackSlackMs = 250", "maxSkewMs = 5000", "strictRevoke = true", "revokeMs = 5000",
                    "retryBudgetRatio = 0.2", "budgetWindowS = 10", "retryBudgetSlack = 52", "recoverS = 12",
                    "passMs = 120", "reuseWindowS = 10",
                    "[platform]", "address = \"" + store + "\"", "form = \"read\"", "writesPerS = 400",
                    "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576", "ttlMinMs = 1000", "");
            Files.writeString(settings, text);
            run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = \""))
                    .map(line -> line.substring(7, line.length() - 1)).findFirst().orElseThrow();
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BRONZEWHEEL_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            process = builder.start();
            log("started node %s, pid %d", ip, process.pid());
            Runtime.getRuntime().addShutdownHook(new Thread(this::destroy));
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                return read(new BufferedInputStream(socket.getInputStream()), true).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Ends the process and waits until it has ended. */
        void end() {
            boolean ranOn = process.isAlive();
            log("node %s, pid %d, has ended: exit value %d, %s", ip, process.pid(), destroy(),
                    ranOn ? "killed at the end of the run" : "it had ended before");
        }

        private int destroy() {
            process.destroyForcibly();
            try {
                return process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return -1;
            }
        }
    }

    /** Starts nodes on their own loopback addresses and waits until all are ready. */
    static List<Node> startNodes(Path folder, int count, Store store) throws IOException {
        int[] ports = new int[4];
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ips.add("127.0.10." + (i + 1));
        }
        int base = freeBase(ips);
        for (int i = 0; i < 4; i++) {
            ports[i] = i < 3 ? base + i : base + 8;
        }
        List<Node> nodes = new ArrayList<>();
        String[] zones = {"obihiro-a", "obihiro-b", "otofuke"};
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(folder, ips.get(i), zones[i % 3], i + 1, ports, ips.subList(0, Math.min(3, count)), store.address(i)));
        }
        for (Node node : nodes) {
            node.start();
        }
        long until = now() + 20_000;
        while (now() < until && !nodes.stream().allMatch(Node::isReady)) {
            sleep(100);
        }
        if (!nodes.stream().allMatch(Node::isReady)) {
            throw new IOException("the nodes did not become ready");
        }
        log("all nodes are ready");
        return nodes;
    }

    /** The outcome of one client attempt. */
    static final class Outcome {
        final String id;
        final String node;
        long sentMillis;
        long endMillis;
        int status;
        boolean whole;
        String seal;
        String error = "";

        Outcome(String id, String node) {
            this.id = id;
            this.node = node;
        }

        @Override
        public String toString() {
            return String.format("%s at %s sent %.3f ended %.3f status %d %s", id, node, sentMillis / 1e3,
                    endMillis / 1e3, status, error);
        }
    }

    /** A client that keeps one connection to a node for its requests, and opens a new one where that was closed. */
    static final class KeptClient {
        private final String ip;
        private final int port;
        /** Further header lines, each with its end. */
        String more = "";
        private Socket socket;
        private InputStream in;

        KeptClient(String ip, int port) {
            this.ip = ip;
            this.port = port;
        }

        Outcome request(String method, String path, String host, String id, String key, long deadlineMillis,
                byte[] body) {
            Outcome outcome = new Outcome(id, ip);
            outcome.sentMillis = now();
            // Gives up a while after the deadline, also where the node does not read the request.
            ScheduledFuture<?> giveUp = TIMERS.schedule(this::close, deadlineMillis + 1_500, TimeUnit.MILLISECONDS);
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(new InetSocketAddress(ip, port), 1_000);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) deadlineMillis + 1_000);
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\n" + more
                        + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                all.write(body);
                Socket open = socket;
                open.getOutputStream().write(all.toByteArray());
                outcome.whole = true;
                outcome.sentMillis = now();
                Message answer = read(in, true);
                outcome.status = answer.status();
                outcome.seal = answer.headers.get("X-Server-Seal");
                if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
                    close();
                }
            } catch (IOException e) {
                outcome.error = e.getClass().getSimpleName() + ": " + e.getMessage();
                close();
            }
            giveUp.cancel(false);
            outcome.endMillis = now();
            log("answer %s", outcome);
            return outcome;
        }

        boolean isOpen() {
            return socket != null;
        }

        synchronized void close() {
            if (socket != null) {
                closeQuietly(socket);
                socket = null;
            }
        }
    }

    static ScheduledExecutorService timers() {
        return Executors.newScheduledThreadPool(2, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
    }

}
