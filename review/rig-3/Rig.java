import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.FileWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Small stand-ins of the platform's store, the workers and the clients, and the routers' start. */
final class Rig {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
    private static final List<Process> STARTED = java.util.Collections.synchronizedList(new ArrayList<>());
    private static final List<Path> TEMPORARY = java.util.Collections.synchronizedList(new ArrayList<>());
    private static boolean ended;
    private static PrintWriter record;

    static {
        // A case that is interrupted could not run.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(endProcesses(2))));
    }

    private Rig() {}

    /**
     * Ends all processes that were started, waits for their end, records how many were started and
     * still run, deletes the temporary folders, and returns the given exit status.
     */
    static synchronized int endProcesses(int exit) {
        if (ended) {
            return exit;
        }
        ended = true;
        List<Process> started = List.copyOf(STARTED);
        started.forEach(Process::destroyForcibly);
        int left = 0;
        for (Process process : started) {
            try {
                process.waitFor(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            left += process.isAlive() ? 1 : 0;
        }
        log("processes: started %d, still running at the end %d", started.size(), left);
        log("exit %d", exit);
        TEMPORARY.forEach(Rig::delete);
        return exit;
    }

    /** Creates a folder that is deleted at the end. */
    static Path temporary(String name) throws IOException {
        Path folder = Files.createTempDirectory(name);
        TEMPORARY.add(folder);
        return folder;
    }

    private static void delete(Path folder) {
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void openRecord(String file) throws IOException {
        record = new PrintWriter(new FileWriter(file), true);
        log("TROUBLE=%d", TROUBLE ? 1 : 0);
    }

    static void log(String format, Object... args) {
        String line = String.format(Locale.ROOT, "%9.3f  ", now() / 1e3) + String.format(Locale.ROOT, format, args);
        synchronized (Rig.class) {
            if (record != null) {
                record.println(line);
            } else {
                System.out.println(line);
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
            return socket.getLocalPort();
        }
    }

    // ------------------------------------------------------------------ HTTP

    /** A message read from a connection: its first line, headers by lower-case name, and body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean whole;
        String failure = "";

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("closed within a line after " + line.size() + " bytes");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; returns null if the connection ends before its first byte. */
    static Message head(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Message message = new Message();
        message.first = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    interface Chunk {
        void read(byte[] bytes) throws IOException;
    }

    /** Reads a body by its framing; a response without a length ends with its connection. */
    static void body(InputStream in, Message message, boolean response, Chunk sink) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Chunk all = bytes -> {
            body.writeBytes(bytes);
            if (sink != null) {
                sink.read(bytes);
            }
        };
        try {
            String length = message.header("content-length");
            if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
                for (int size = Integer.parseInt(line(in).split(";")[0].trim(), 16); size > 0; size = Integer.parseInt(line(in).split(";")[0].trim(), 16)) {
                    all.read(exactly(in, size));
                    line(in);
                }
                while (!line(in).isEmpty()) {
                    // Trailers are skipped.
                }
            } else if (length != null) {
                all.read(exactly(in, Integer.parseInt(length)));
            } else if (response) {
                byte[] buffer = new byte[8192];
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    all.read(java.util.Arrays.copyOf(buffer, n));
                }
            }
            message.whole = true;
        } finally {
            message.body = body.toByteArray();
        }
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed within a body");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void send(OutputStream out, String head, byte[] body) throws IOException {
        byte[] headBytes = bytes(head);
        byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    interface Handler {
        /** Serves one connection. */
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A server that can be taken down and up again at its address. */
    static final class Server {
        final String address;
        final int port;
        final Handler handler;
        final List<Socket> sockets = new ArrayList<>();
        private ServerSocket listener;

        Server(String address, int port, Handler handler) throws IOException {
            this.address = address;
            this.port = port == 0 ? freePort(address) : port;
            this.handler = handler;
            open();
        }

        String at() {
            return address + ":" + port;
        }

        void open() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getByName(address), port), 512);
            listener = opened;
            daemon("accept-" + at(), () -> {
                while (!opened.isClosed()) {
                    try {
                        Socket socket = opened.accept();
                        socket.setTcpNoDelay(true);
                        synchronized (sockets) {
                            sockets.add(socket);
                        }
                        daemon("serve-" + at(), () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                handler.serve(socket, new BufferedInputStream(socket.getInputStream(), 65536), socket.getOutputStream());
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                synchronized (sockets) {
                    sockets.remove(socket);
                }
            }
        }

        /** Ends like a process that is killed: its connections are reset and its port refuses. */
        void kill() throws IOException {
            listener.close();
            List<Socket> open;
            synchronized (sockets) {
                open = new ArrayList<>(sockets);
            }
            for (Socket socket : open) {
                reset(socket);
            }
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    // ------------------------------------------------------------------ store

    /** The platform's store: ranges and watches of what the operator and the workers write. */
    static final class Store {
        private record Item(String key, String value, long revision, long created, boolean removed) {
            String json() {
                return removed
                        ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}"
                        : "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":0}";
            }
        }

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private final Map<String, String> lastLogged = new LinkedHashMap<>();
        private long revision = 1;
        final Server server;
        /** The addresses of routers that get 503. */
        final java.util.Set<String> turnedAway = ConcurrentHashMap.newKeySet();
        volatile boolean down;

        Store(String address) throws IOException {
            server = new Server(address, 0, this::serve);
        }

        synchronized long put(String key, String json) {
            revision++;
            Item before = items.get(key);
            Item item = new Item(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), revision, before == null ? revision : before.created(), false);
            items.put(key, item);
            history.add(item);
            notifyAll();
            String stable = json.replaceAll("\"sequence\":[0-9]+", "");
            if (!stable.equals(lastLogged.put(key, stable))) {
                String text = json.length() > 200 ? json.substring(0, 200) + "..." : json;
                log("store: put %s at revision %d, %d bytes: %s", key, revision, json.length(), text);
            }
            return revision;
        }

        synchronized void remove(String key) {
            revision++;
            items.remove(key);
            history.add(new Item(key, "", revision, 0, true));
            notifyAll();
            log("store: removed %s at revision %d", key, revision);
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            for (Message request = head(in); request != null; request = head(in)) {
                body(in, request, false, null);
                String peer = socket.getInetAddress().getHostAddress();
                if (down || turnedAway.contains(peer)) {
                    send(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                String answer = answer(request.target());
                byte[] body = bytes(answer);
                send(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n", body);
            }
        }

        private synchronized String answer(String target) throws InterruptedException {
            Map<String, String> query = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            for (String part : target.substring(mark + 1).split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], java.net.URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
            String prefix = query.getOrDefault("prefix", "");
            StringBuilder json = new StringBuilder();
            if (target.startsWith("/-/kv-range")) {
                items.values().stream().filter(i -> i.key().startsWith(prefix)).forEach(i -> json.append(json.length() > 0 ? "," : "").append(i.json()));
                return "{\"items\":[" + json + "],\"truncated\":false,\"storeRevision\":" + revision + "}";
            }
            long after = Long.parseLong(query.get("after"));
            long until = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            while (revision <= after && now() < until) {
                wait(Math.max(1, until - now()));
            }
            history.stream().filter(i -> i.revision() > after && i.key().startsWith(prefix)).forEach(i -> json.append(json.length() > 0 ? "," : "").append(i.json()));
            return "{\"events\":[" + json + "],\"storeRevision\":" + revision + "}";
        }
    }

    // ------------------------------------------------------------------ workers

    /** What a worker did with one request. */
    static final class Run {
        final String worker;
        final String id;
        final long atMillis;
        final Message request;
        volatile long endMillis = -1;
        volatile String end = "";

        Run(String worker, Message request) {
            this.worker = worker;
            this.id = request.header("x-attempt-id");
            this.atMillis = now();
            this.request = request;
        }
    }

    /** A worker; a subclass answers the requests. */
    abstract static class Worker {
        final String id;
        final String service;
        final Server server;
        final Store store;
        final String zone;
        final int slots;
        final List<Run> runs = java.util.Collections.synchronizedList(new ArrayList<>());
        private long sequence = 1;

        Worker(Store store, String id, String service, String address, String zone, int slots) throws IOException {
            this.store = store;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.server = new Server(address, 0, this::serve);
        }

        synchronized void register(String state) {
            store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + server.at() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"sequence\":" + sequence++ + "}");
        }

        private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            for (Message request = head(in); request != null; request = head(in)) {
                body(in, request, false, null);
                String expected = request.header("x-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    send(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                    continue;
                }
                if (!answer(request, socket, out)) {
                    return;
                }
            }
        }

        Run run(Message request) {
            Run run = new Run(id, request);
            runs.add(run);
            log("worker %s runs %s %s deadline=%s tenant=%s", id, run.id, request.first, request.header("x-deadline-ms"), request.header("x-tenant"));
            return run;
        }

        String seal(String id) {
            return "X-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." + this.id + "." + id + "\r\n";
        }

        /** Answers a request; returns whether the connection goes on. */
        abstract boolean answer(Message request, Socket socket, OutputStream out) throws Exception;
    }

    // ------------------------------------------------------------------ routers

    /** A router, started by the command of the deploy file. */
    static final class Router {
        final String ip;
        final String name;
        final int front;
        final int ready;
        final int control;
        final Path settings;
        final File output;
        private final String[] command;
        Process process;

        Router(Path folder, String name, String ip, String zone, int peerPort, List<String> seeds, String store, int graceS) throws IOException {
            this.ip = ip;
            this.name = name;
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.control = freePort(ip);
            this.settings = folder.resolve(name + ".toml");
            this.output = folder.resolve(name + ".log").toFile();
            StringBuilder seedList = new StringBuilder();
            for (String seed : seeds) {
                seedList.append(seedList.length() > 0 ? "," : "").append('"').append(seed).append(":8628\"");
            }
            Files.writeString(settings, String.join("\n",
                    "nodeName = \"" + name + "\"", "role = \"router\"", "machineClass = \"front\"", "serves = [\"front\",\"control\"]",
                    "ip = \"" + ip + "\"", "zone = \"" + zone + "\"", "region = \"r\"", "internalPortRange = [" + peerPort + "," + (peerPort + 15) + "]",
                    "seedNodes = [" + seedList + "]", "bootstrap = true", "inFaultBudget = false", "discovery = \"platform\"", "entry = \"vip\"", "heartbeatMs = 1200",
                    "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"]",
                    "[zones]", "za = \"r\"", "zb = \"r\"",
                    "[listen]", "front = \"" + ip + ":" + front + "\"", "ready = \"" + ip + ":" + ready + "\"", "control = \"" + ip + ":" + control + "\"",
                    "[limits]", "cpuShare = 0.75", "cpuCores = 1", "memoryMb = 430", "maxFds = 4100", "linkMbps = 1000.0", "diskMb = 0",
                    "[faultTolerance]", "machines = 2", "zones = 0", "regions = 0",
                    "[bounds]", "seedLagS = 3", "reuseAfterS = 2", "contactMs = 3000", "ackMs = 4000", "catchUpS = 4", "drainMs = 2000", "graceS = " + graceS, "lossSlackMs = 200",
                    "configApplyMs = 2000", "rollbackSlackMs = 250", "maxSkewMs = 5000", "strictRevoke = true", "revokeMs = 5000", "retryBudgetRatio = 0.2", "budgetWindowS = 10",
                    "retryBudgetSlack = 52", "recoverS = 12", "passMs = 120", "reuseWindowS = 10",
                    "[platform]", "address = \"" + store + "\"", "form = \"read\"", "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576", "ttlMinMs = 1000", ""));
            command = command();
        }

        private static String[] command() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(7, line.lastIndexOf('"')).split(" ");
                }
            }
            throw new IOException("the deploy file has no run command");
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BRONZEWHEEL_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
            process = builder.start();
            STARTED.add(process);
            log("router %s started: pid=%d front=%s:%d", name, process.pid(), ip, front);
        }

        void awaitReady(long millis) {
            long until = now() + millis;
            while (now() < until) {
                if (isReady()) {
                    log("router %s is ready", name);
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException("router " + name + " does not become ready");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ready), 500);
                socket.setSoTimeout(1000);
                send(socket.getOutputStream(), "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                Message answer = head(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws IOException {
            log("signal %s to router %s", signal, name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean awaitExit(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }
    }

    // ------------------------------------------------------------------ clients

    /** One attempt of a client and what it saw. */
    static final class Call {
        String id;
        long sentMillis;
        long endMillis = -1;
        Message answer;
        String failure = "";
        boolean connected;
        List<Long> arrivals = new ArrayList<>();

        String outcome() {
            return answer == null || answer.first == null ? "no answer: " + failure : answer.status() + (answer.whole ? " whole" : " not whole: " + failure);
        }
    }

    /** A connection of a client; it sends one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        /** Whether only other answers than a whole 200 are recorded one by one. */
        boolean quiet;
        final BufferedInputStream in;
        final OutputStream out;

        Client(String ip, int port) throws IOException {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
            out = socket.getOutputStream();
        }

        Call call(String method, String host, String path, String headers, byte[] body, long deadlineMillis) {
            return call(newId(), method, host, path, headers, body, deadlineMillis);
        }

        Call call(String id, String method, String host, String path, String headers, byte[] body, long deadlineMillis) {
            Call call = new Call();
            call.id = id;
            call.sentMillis = now();
            try {
                socket.setSoTimeout((int) deadlineMillis + 1000);
                send(out, method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + headers
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n", body);
                call.answer = head(in);
                if (call.answer == null) {
                    call.failure = "closed without an answer";
                } else {
                    body(in, call.answer, true, bytes -> call.arrivals.add(now()));
                }
            } catch (SocketTimeoutException e) {
                call.failure = "timed out";
            } catch (IOException e) {
                call.failure = e.toString();
            }
            call.endMillis = now();
            if (!quiet || !call.outcome().equals("200 whole")) {
                log("client %s %s %s sent at %.3f -> %s after %d ms", id, method, path, call.sentMillis / 1e3, call.outcome(), call.endMillis - call.sentMillis);
            }
            return call;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It has ended already.
            }
        }
    }
}
