import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the platform's store, its workers and its clients, and a starter for routers, all on
 * loopback addresses. The scenarios of the review are classes beside this one.
 */
final class Stand {
    private Stand() {}

    // ---- HTTP messages ---------------------------------------------------------------------

    /** A request or a response head with its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                out.write(next);
            }
            next = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        String next = line(in);
        while (next != null && !next.isEmpty()) {
            int colon = next.indexOf(':');
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
            next = line(in);
        }
        return message;
    }

    /** Reads the chunk that comes next; empty at the end of the body. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("the connection ended within a body");
        }
        byte[] bytes = in.readNBytes(Integer.parseInt(size.trim(), 16));
        String end = line(in);
        if (end == null) {
            throw new IOException("the connection ended within a body");
        }
        return bytes;
    }

    /** Reads a message with its whole body; null at the end of the connection. */
    static Message message(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] next = chunk(in); next.length > 0; next = chunk(in)) {
                body.writeBytes(next);
            }
            message.body = body.toByteArray();
        } else if (message.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new IOException("the connection ended within a body");
            }
        }
        return message;
    }

    static void write(OutputStream out, String first, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    // ---- Servers ---------------------------------------------------------------------------

    /** Handles the requests of one connection. */
    interface Handler {
        /** Answers a request; returns whether the connection is kept. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** A server with a thread for each connection. */
    static class Server {
        final ServerSocket socket = new ServerSocket();
        private final Handler handler;

        Server(String ip, Handler handler) throws IOException {
            this.handler = handler;
            socket.bind(new InetSocketAddress(ip, 0), 512);
            thread(this::accept);
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket next = socket.accept();
                    next.setTcpNoDelay(true);
                    thread(() -> serve(next));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                Message request = message(in);
                while (request != null && handler.handle(request, out, connection)) {
                    request = message(in);
                }
            } catch (Exception e) {
                // The connection ended.
            }
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The platform's store: items, a revision, and the history of all changes. */
    static final class Store {
        private record Item(String key, byte[] value, long revision, long created) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private long revision = 100;
        final Server server;

        Store(String ip) throws IOException {
            server = new Server(ip, this::handle);
        }

        /** Writes an item; the return is the acknowledgement. */
        synchronized void put(String key, String value) {
            revision++;
            Item before = items.get(key);
            Item item =
                    new Item(key, bytes(value), revision, before == null ? revision : before.created());
            items.put(key, item);
            history.add(item);
            notifyAll();
        }

        synchronized void remove(String key) {
            revision++;
            items.remove(key);
            history.add(new Item(key, null, revision, 0));
            notifyAll();
        }

        private static String json(Item item) {
            if (item.value() == null) {
                return "{\"key\":\"%s\",\"revision\":%d,\"removed\":true}"
                        .formatted(item.key(), item.revision());
            }
            return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
                    .formatted(
                            item.key(),
                            Base64.getEncoder().encodeToString(item.value()),
                            item.revision(),
                            item.created());
        }

        private boolean handle(Message request, OutputStream out, Socket socket) throws Exception {
            Map<String, String> query = query(request.target());
            String path = request.target().split("\\?")[0];
            String body =
                    switch (path) {
                        case "/-/kv-range" -> range(query);
                        case "/-/kv-watch" -> watch(query);
                        default -> "";
                    };
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Content-Type", "application/json");
            write(out, body.isEmpty() ? "HTTP/1.1 404 None" : "HTTP/1.1 200 OK", headers, bytes(body));
            return true;
        }

        private synchronized String range(Map<String, String> query) {
            List<String> found = new ArrayList<>();
            for (Item item : items.values()) {
                if (item.key().startsWith(query.getOrDefault("prefix", ""))
                        && item.key().compareTo(query.getOrDefault("after", "")) > 0) {
                    found.add(json(item));
                }
            }
            return "{\"items\":[%s],\"truncated\":false,\"storeRevision\":%d}"
                    .formatted(String.join(",", found), revision);
        }

        private synchronized String watch(Map<String, String> query) throws InterruptedException {
            long after = Long.parseLong(query.get("after"));
            long endMillis = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            while (revision <= after && now() < endMillis) {
                wait(Math.max(1, endMillis - now()));
            }
            List<String> events = new ArrayList<>();
            for (Item item : history) {
                if (item.revision() > after && item.key().startsWith(query.getOrDefault("prefix", ""))) {
                    events.add(json(item));
                }
            }
            return "{\"events\":[%s],\"storeRevision\":%d}"
                    .formatted(String.join(",", events), revision);
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new LinkedHashMap<>();
            int start = target.indexOf('?');
            if (start >= 0) {
                for (String part : target.substring(start + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(
                            part.substring(0, equals),
                            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }
    }

    /** A worker, registered in the store, that answers by a handler. */
    static final class Worker {
        final String id;
        final String service;
        final Server server;
        private final Store store;
        private volatile boolean alive = true;
        private long sequence;

        Worker(Store store, String id, String service, String ip, int slots, Handler handler)
                throws IOException {
            this.store = store;
            this.id = id;
            this.service = service;
            this.server =
                    new Server(
                            ip,
                            (request, out, socket) -> {
                                String expected = request.header("X-Expect-Instance");
                                if (!expected.isEmpty() && !expected.equals(id)) {
                                    Map<String, String> headers = echo(request);
                                    headers.put("X-Not-Executed", "1");
                                    headers.put("X-Instance-Id", id);
                                    write(out, "HTTP/1.1 421 Misdirected", headers, new byte[0]);
                                    return true;
                                }
                                return handler.handle(request, out, socket);
                            });
            thread(
                    () -> {
                        while (alive) {
                            register(slots);
                            sleep(1_200);
                        }
                    });
        }

        private void register(int slots) {
            store.put(
                    "servers/" + id,
                    ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
                                    + "\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,"
                                    + "\"sequence\":%d}")
                            .formatted(service, server.address(), slots, ++sequence));
        }

        String address() {
            return server.address();
        }
    }

    static Map<String, String> echo(Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (request.headers.containsKey("X-Attempt-Id")) {
            headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
        }
        return headers;
    }

    // ---- Routers ---------------------------------------------------------------------------

    /** A router, started with the command of the deploy file. */
    static final class Router {
        final String ip;
        final int front;
        final int ready;
        private final Path settings;
        private final Path log;
        Process process;

        Router(String ip, int internal, int front, int ready, List<String> seeds, Store store, Path folder)
                throws IOException {
            this.ip = ip;
            this.front = front;
            this.ready = ready;
            this.settings = folder.resolve("settings-" + ip + ".toml");
            this.log = folder.resolve("router-" + ip + ".log");
            List<String> nodes = new ArrayList<>();
            seeds.forEach(seed -> nodes.add("\"" + seed + ":" + (internal + 1) + "\""));
            Files.writeString(
                    settings,
                    """
                    nodeName = "front-%1$s"
                    role = "router"
                    machineClass = "front"
                    serves = ["front", "control"]
                    ip = "%1$s"
                    zone = "zone-a"
                    region = "region"
                    internalPortRange = [%2$d, %2$d]
                    seedNodes = [%3$s]
                    bootstrap = true
                    discovery = "platform"
                    entry = "vip"
                    heartbeatMs = 1200
                    contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
                    [zones]
                    zone-a = "region"
                    [listen]
                    front = "%1$s:%4$d"
                    ready = "%1$s:%5$d"
                    control = "%1$s:%6$d"
                    [limits]
                    cpuShare = 0.75
                    cpuCores = 1
                    memoryMb = 430
                    maxFds = 4100
                    linkMbps = 1000.0
                    diskMb = 0
                    [faultTolerance]
                    machines = 2
                    zones = 0
                    regions = 0
                    [bounds]
                    seedLagS = 3
                    reuseAfterS = 2
                    contactMs = 3000
                    ackMs = 4000
                    catchUpS = 4
                    drainMs = 2000
                    graceS = 8
                    lossSlackMs = 200
                    configApplyMs = 2000
                    rollbackSlackMs = 250
                    maxSkewMs = 5000
                    strictRevoke = true
                    revokeMs = 5000
                    retryBudgetRatio = 0.2
                    budgetWindowS = 10
                    retryBudgetSlack = 52
                    recoverS = 12
                    passMs = 120
                    reuseWindowS = 10
                    [platform]
                    address = "%7$s"
                    form = "read"
                    writesPerS = 400
                    readsPerS = 2000
                    historyS = 20
                    valueBytes = 1048576
                    ttlMinMs = 1000
                    """
                            .formatted(
                                    ip,
                                    internal,
                                    String.join(",", nodes),
                                    front,
                                    ready,
                                    internal + 1,
                                    store.server.address()));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("BRONZEWHEEL_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            started.add(process);
        }

        /** Returns the command of the deploy file. */
        private static List<String> command() throws IOException {
            for (String next : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (next.startsWith("run = \"")) {
                    String run = next.substring(next.indexOf('"') + 1, next.lastIndexOf('"'));
                    return List.of(run.split(" "));
                }
            }
            throw new IOException("the deploy file has no command");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(bytes("GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"));
                Message answer = message(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits until the router is ready; ends the run as one that could not be done. */
        void awaitReady() {
            long endMillis = now() + 30_000;
            while (!isReady()) {
                if (now() > endMillis || !process.isAlive()) {
                    unable("router " + ip + " is not ready");
                }
                sleep(100);
            }
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(ip, front), 1_000);
            socket.setTcpNoDelay(true);
            return socket;
        }

        /** Sends a request on a new connection and returns its answer, or null without one. */
        Message call(String head, byte[] body, int timeoutMillis) {
            try (Socket socket = connect()) {
                socket.setSoTimeout(timeoutMillis);
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.writeBytes(bytes(head));
                all.writeBytes(body);
                socket.getOutputStream().write(all.toByteArray());
                return message(new BufferedInputStream(socket.getInputStream()));
            } catch (IOException e) {
                return null;
            }
        }
    }

    /** Returns a port that is free on all of some addresses, with the next two. */
    static int freePort(List<String> ips) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port;
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ips.get(0)))) {
                port = probe.getLocalPort();
            }
            if (port < 65_000 && areFree(ips, port, 5)) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(List<String> ips, int port, int count) {
        for (String ip : ips) {
            for (int next = port; next < port + count; next++) {
                try (ServerSocket probe = new ServerSocket(next, 1, InetAddress.getByName(ip))) {
                    continue;
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    // ---- Record and result -----------------------------------------------------------------

    static final long START = System.nanoTime();

    /** All processes that this run has started. */
    private static final List<Process> started = new CopyOnWriteArrayList<>();

    private static volatile Path recordFile;

    /** Ends all processes, also when the run is interrupted, and records that they have ended. */
    private static synchronized void endProcesses() {
        started.forEach(Process::destroyForcibly);
        int left = 0;
        for (Process process : started) {
            try {
                left += process.waitFor(5, TimeUnit.SECONDS) ? 0 : 1;
            } catch (InterruptedException e) {
                left += process.isAlive() ? 1 : 0;
            }
        }
        say("processes: started %d, still running at the end %d".formatted(started.size(), left));
    }

    /** The longest time that a run may take, in milliseconds. */
    private static final long MAX_RUN_MILLIS = 110_000;

    static void record(Path file) throws IOException {
        recordFile = file;
        Files.writeString(file, "trouble: " + trouble() + System.lineSeparator());
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::endProcesses));
        thread(
                () -> {
                    sleep(MAX_RUN_MILLIS);
                    unable("the run took too long");
                });
    }

    /** Creates a folder that is deleted at the end of the run. */
    static Path temporaryFolder() throws IOException {
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try (var files = Files.list(folder)) {
                                        files.forEach(file -> file.toFile().delete());
                                    } catch (IOException e) {
                                        // The folder stays.
                                    }
                                    folder.toFile().delete();
                                }));
        return folder;
    }

    static synchronized void say(String text) {
        String line =
                String.format(
                        Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - START) / 1e9, text);
        System.out.print(line);
        try {
            Files.writeString(recordFile, line, java.nio.file.StandardOpenOption.APPEND);
        } catch (IOException e) {
            System.out.println("cannot write the record: " + e);
        }
    }

    /** Ends a run that could not be done. */
    static void unable(String reason) {
        System.out.println("unable: " + reason);
        Runtime.getRuntime().exit(2);
    }

    static void end(boolean broken, String verdict) {
        say((broken ? "BROKEN: " : "HELD: ") + verdict);
        Runtime.getRuntime().exit(broken ? 1 : 0);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static <K, V> Map<K, V> map() {
        return new ConcurrentHashMap<>();
    }
}
