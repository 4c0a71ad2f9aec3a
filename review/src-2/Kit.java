import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins of the platform's store, of upstreams and of clients, and the start of nodes, for the scripts of a review. */
final class Kit {
    private Kit() {}

    static final String HOST = "127.0.0.1";
    static final long START = System.nanoTime();
    private static PrintWriter record;

    static synchronized void open(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
        if (record != null) record.println(line);
        System.out.println(line);
    }

    static synchronized void quiet(String format, Object... values) {
        if (record != null) {
            record.println(String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values));
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread go(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final Set<Integer> PORTS = new HashSet<>();

    /**
     * A port that is free for TCP and UDP and stays taken until [release], so that no other process gets it meanwhile. It
     * lies below the range from which the system takes those of connections.
     */
    static final class Port {
        final int number;
        private final ServerSocket tcp;
        private final DatagramSocket udp;

        private Port(int number) throws IOException {
            this.number = number;
            tcp = new ServerSocket(number, 1, InetAddress.getByName(HOST));
            try {
                udp = new DatagramSocket(number, InetAddress.getByName(HOST));
            } catch (IOException taken) {
                tcp.close();
                throw taken;
            }
        }

        static synchronized Port free() throws IOException {
            while (true) {
                int number = 12_000 + ThreadLocalRandom.current().nextInt(18_000);
                if (!PORTS.add(number)) continue;
                try {
                    return new Port(number);
                } catch (java.net.BindException taken) {
                    continue;
                }
            }
        }

        void release() {
            try {
                tcp.close();
            } catch (IOException e) {
                note("port %d: %s", number, e);
            }
            udp.close();
        }
    }

    // ---------------------------------------------------------------- messages

    /** A request or a response, as read from a socket. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("in a line");
            }
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) return null;
        String field;
        while ((field = line(in)) != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
        if (field == null) throw new EOFException("in a head");
        return message;
    }

    static Message message(InputStream in) throws IOException {
        Message message = head(in);
        if (message != null) readBody(in, message);
        return message;
    }

    static void readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                body.write(exactly(in, size));
                line(in);
                if (size == 0) break;
            }
            message.body = body.toByteArray();
            return;
        }
        String length = message.headers.get("Content-Length");
        if (length != null) message.body = exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("in a body: " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    // ---------------------------------------------------------------- store

    /** The part of the platform's store that nodes use: append, read, and the newest records of keyed topics. */
    static final class Store {
        final int port;
        private final Map<String, List<byte[]>> topics = new HashMap<>();

        Store() throws IOException {
            HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 0);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
            port = server.getAddress().getPort();
        }

        synchronized void put(String topic, String key, String value) {
            byte[] name = key.getBytes(StandardCharsets.UTF_8);
            byte[] text = value.getBytes(StandardCharsets.UTF_8);
            ByteBuffer content = ByteBuffer.allocate(1 + name.length + text.length);
            content.put((byte) name.length).put(name).put(text);
            records(topic).add(content.array());
            notifyAll();
        }

        /** Returns the newest value of [key] in [topic], or an empty text. */
        synchronized String value(String topic, String key) {
            List<byte[]> records = records(topic);
            for (int i = records.size() - 1; i >= 0; i--) {
                byte[] content = records.get(i);
                int start = 1 + (content[0] & 0xff);
                if (keyOf(content).equals(key)) return new String(content, start, content.length - start, StandardCharsets.UTF_8);
            }
            return "";
        }

        private List<byte[]> records(String topic) {
            return topics.computeIfAbsent(topic, name -> new ArrayList<>());
        }

        private void handle(HttpExchange exchange) throws IOException {
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getQuery();
            for (String pair : (text == null ? "" : text).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            byte[] body = exchange.getRequestBody().readAllBytes();
            sleep(4);
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-append" -> append(exchange, query, body);
                case "/v1/log-read" -> read(exchange, query);
                case "/v1/log-newest" -> newest(exchange, query);
                default -> answer(exchange, 404, "{}".getBytes(StandardCharsets.UTF_8));
            }
        }

        private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
            String topic = query.get("topic");
            if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
                answer(exchange, 403, "{}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            int status = 200;
            long offset;
            long end;
            synchronized (this) {
                List<byte[]> records = records(topic);
                String condition = query.get("store-revision");
                offset = records.size();
                if (condition != null && Long.parseLong(condition) != offset) {
                    status = 412;
                } else {
                    ByteBuffer in = ByteBuffer.wrap(body);
                    while (in.hasRemaining()) {
                        byte[] content = new byte[in.getInt()];
                        in.get(content);
                        records.add(content);
                    }
                    notifyAll();
                }
                end = records.size();
            }
            String json = "{\"offset\":" + offset + ",\"end\":" + end + "}";
            answer(exchange, status, json.getBytes(StandardCharsets.UTF_8));
        }

        private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
            int from = Integer.parseInt(query.get("from"));
            long wait = Long.parseLong(query.getOrDefault("wait-ms", "0"));
            long until = System.nanoTime() + wait * 1_000_000;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            synchronized (this) {
                List<byte[]> records = records(query.get("topic"));
                while (records.size() <= from) {
                    long left = (until - System.nanoTime()) / 1_000_000;
                    if (left <= 0) break;
                    try {
                        wait(left);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(records.size());
                out.writeLong(0);
                for (int i = from; i < records.size(); i++) {
                    out.writeInt(records.get(i).length);
                    out.write(records.get(i));
                }
            }
            answer(exchange, 200, bytes.toByteArray());
        }

        private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
            StringBuilder json = new StringBuilder("{\"items\":[");
            synchronized (this) {
                List<byte[]> records = records(query.get("topic"));
                Map<String, Integer> last = new TreeMap<>();
                for (int i = 0; i < records.size(); i++) last.put(keyOf(records.get(i)), i);
                boolean isFirst = true;
                for (Map.Entry<String, Integer> entry : last.entrySet()) {
                    byte[] content = records.get(entry.getValue());
                    int start = 1 + (content[0] & 0xff);
                    if (start == content.length) continue;
                    byte[] value = java.util.Arrays.copyOfRange(content, start, content.length);
                    if (!isFirst) json.append(',');
                    isFirst = false;
                    json.append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"")
                            .append(Base64.getEncoder().encodeToString(value)).append("\",\"offset\":")
                            .append(entry.getValue()).append('}');
                }
                json.append("],\"more\":false,\"end\":").append(records.size()).append('}');
            }
            answer(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
        }

        private static String keyOf(byte[] content) {
            return new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
        }

        private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        }
    }

    // ---------------------------------------------------------------- upstreams

    /** How an upstream answers a request that it runs. The default works for the time that the query states. */
    interface Work {
        void run(Upstream upstream, Message request, InputStream in, OutputStream out, Socket socket) throws IOException;
    }

    /** An upstream beside a node. It refuses requests for another instance and runs at most [slots] at once. */
    static final class Upstream {
        final String id;
        final String service;
        final int port;
        final int announcements;
        final int slots;
        final long born = System.currentTimeMillis();
        final AtomicInteger running = new AtomicInteger();
        final List<String> runs = new ArrayList<>();
        volatile Work work;
        volatile boolean isLeaving;
        /** True while the health path answers 200 although the upstream is leaving. */
        volatile boolean liesGood;
        volatile boolean isSilent;
        volatile String state = "ready";
        /** Version of the software, which heartbeats state. */
        volatile String version = "v1";
        volatile long beatMillis = 1_500;
        private volatile boolean isOpen = true;
        private ServerSocket server;
        private final AtomicInteger sequence = new AtomicInteger();
        private final List<Socket> sockets = new ArrayList<>();

        Upstream(String id, String service, int port, int announcements, int slots, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.port = port;
            this.announcements = announcements;
            this.slots = slots;
            this.work = work;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(HOST, port), 128);
            go(this::accept);
        }

        void startBeats() {
            go(() -> {
                while (isOpen && !isSilent) {
                    beat();
                    sleep(beatMillis);
                }
            });
        }

        boolean isOpen() {
            return isOpen;
        }

        /** Sends no further heartbeats. */
        void silence() {
            isSilent = true;
        }

        boolean beat() {
            String body = "{\"address\":\"" + HOST + ":" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
                    + "\",\"version\":\"" + version + "\",\"zone\":\"zone-a\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state
                    + "\",\"sequence\":" + sequence.incrementAndGet() + ",\"warmup-left-s\":0}}";
            return tell("instances.heartbeat", body);
        }

        /** Says that it leaves, and returns true if that was acknowledged. */
        boolean leave() {
            isLeaving = true;
            boolean isAcknowledged = tell("instances.leave", "{\"born\":" + born + "}");
            note("upstream %s sent instances.leave: %s", id, isAcknowledged ? "acknowledged" : "no acknowledgement");
            return isAcknowledged;
        }

        private boolean tell(String call, String body) {
            try {
                return post(announcements, "/v1/rpc?call=" + call + "&of=" + id, body) / 100 == 2;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        private void accept() {
            while (isOpen) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    go(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65_536);
                OutputStream out = socket.getOutputStream();
                Message request;
                while ((request = head(in)) != null) {
                    if (request.path().startsWith("/healthcheck")) {
                        boolean isGood = liesGood || !isLeaving;
                        answer(out, isGood ? 200 : 503, null, "Baobabhollow-Upstream-Instance: " + id + "\r\n"
                                + "Baobabhollow-Upstream-Load: " + running.get() + ",0," + slots + "\r\n", new byte[0]);
                        continue;
                    }
                    String attempt = request.headers.get("Baobabhollow-Attempt-Id");
                    String expected = request.headers.get("Baobabhollow-Expected-Instance");
                    if (expected != null && !expected.equals(id)) {
                        readBody(in, request);
                        answer(out, 421, attempt, "Baobabhollow-Upstream-Instance: " + id + "\r\n", new byte[0]);
                        continue;
                    }
                    if (running.incrementAndGet() > slots) {
                        running.decrementAndGet();
                        readBody(in, request);
                        answer(out, 503, attempt, "Baobabhollow-Not-Executed: 1\r\n", new byte[0]);
                        continue;
                    }
                    try {
                        synchronized (runs) {
                            runs.add(attempt);
                        }
                        quiet("upstream %s (%s) begins %s %s", id, service, attempt, request.first);
                        work.run(this, request, in, out, socket);
                    } finally {
                        running.decrementAndGet();
                    }
                }
            } catch (IOException | RuntimeException e) {
                return;
            }
        }

        int runsOf(String attempt) {
            synchronized (runs) {
                return (int) runs.stream().filter(attempt::equals).count();
            }
        }

        void answer(OutputStream out, int status, String attempt, String fields, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
            if (attempt != null) head.append("Baobabhollow-Attempt-Id: ").append(attempt).append("\r\n");
            head.append(fields).append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        String seal() {
            return "Baobabhollow-Upstream-Seal: " + id + ".0\r\nBaobabhollow-Upstream-Load: " + running.get() + ",0," + slots + "\r\n";
        }

        void close() {
            isOpen = false;
            try {
                server.close();
                synchronized (sockets) {
                    for (Socket socket : sockets) socket.close();
                }
            } catch (IOException e) {
                note("close of %s: %s", id, e);
            }
        }
    }

    /** Posts [body] and returns the status of the answer, which has to come within a second. */
    static int post(int port, String path, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 1_000);
            socket.setSoTimeout(1_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + ":" + port
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            return message(socket.getInputStream()).status();
        }
    }

    static long query(Message request, String name, long fallback) {
        int at = request.path().indexOf(name + "=");
        if (at < 0) return fallback;
        String rest = request.path().substring(at + name.length() + 1);
        return Long.parseLong(rest.split("&")[0]);
    }

    /** Reads the body, works for `ms` of the query, and answers with `bytes` of the query. */
    static final Work PLAIN = (upstream, request, in, out, socket) -> {
        readBody(in, request);
        sleep(query(request, "ms", 20));
        upstream.answer(out, 200, request.headers.get("Baobabhollow-Attempt-Id"), upstream.seal(),
                new byte[(int) query(request, "bytes", 10)]);
    };

    /** Runs the request as [PLAIN] does, and fails. */
    static final Work FAILING = (upstream, request, in, out, socket) -> {
        readBody(in, request);
        sleep(query(request, "ms", 20));
        upstream.answer(out, 500, request.headers.get("Baobabhollow-Attempt-Id"), upstream.seal(), new byte[10]);
    };

    // ---------------------------------------------------------------- nodes

    /** A node, started with the command and the settings of the deploy file. */
    static final class Node {
        final String name;
        private final List<Port> ports = new ArrayList<>();
        final int callers = take();
        final int peers = take();
        final int control = take();
        final int operator = take();
        final int ready = take();
        final int announcements = take();
        final int target = take();
        final Path folder;
        private final String service;
        private final String zone;
        private final int store;
        private int starts;
        double heartbeatSeconds = 1.5;
        double drainSeconds = 2;
        Process process;

        Node(Path folder, String name, String zone, String service, int store) throws IOException {
            this.folder = folder;
            this.name = name;
            this.zone = zone;
            this.service = service;
            this.store = store;
            NODES.add(this);
        }

        private int take() throws IOException {
            Port port = Port.free();
            ports.add(port);
            return port.number;
        }

        private String render() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node-id", name);
            values.put("zone", zone);
            values.put("platform.address", HOST + ":" + store);
            values.put("listen.outbound", HOST + ":" + callers);
            values.put("listen.inbound", HOST + ":" + peers);
            values.put("listen.ready", HOST + ":" + ready);
            values.put("listen.control", HOST + ":" + announcements);
            values.put("app-addr", HOST + ":" + target);
            values.put("service", service);
            values.put("heartbeat-s", Double.toString(heartbeatSeconds));
            values.put("bounds.retry-budget-ratio", "0.2");
            values.put("bounds.retry-budget-slack", "62");
            values.put("bounds.grace-s", "6");
            String text = Files.readString(Path.of("deploy/node.json"))
                    .replace("{{ip}}:{{port-range.0}}", HOST + ":" + control)
                    .replace("{{ip}}:{{port-range.1}}", HOST + ":" + operator);
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            if (text.contains("{{")) throw new IOException("a placeholder of deploy/node.json is not known: " + text);
            return text;
        }

        private static List<String> command() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    return new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
                }
            }
            throw new IOException("deploy/system.toml has no run command");
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, render());
            List<String> words = command();
            words.replaceAll(word -> word.equals("/etc/baobabhollow/settings.conf") ? settings.toString() : word);
            ProcessBuilder builder = new ProcessBuilder(words);
            builder.environment().put("BAOBABHOLLOW_OPEN_FILES", "4100");
            builder.environment().put("BAOBABHOLLOW_BOUNDS", "{\"drain-s\":" + drainSeconds + ",\"grace-s\":6,\"retry-budget-ratio\":0.2,"
                    + "\"retry-budget-slack\":62,\"stable-window-s\":3,\"config-apply-s\":2,\"reuse-after-s\":2}");
            builder.environment().put("BAOBABHOLLOW_ZONES", "{\"zone-a\":\"region\",\"zone-b\":\"region\"}");
            ports.forEach(Port::release);
            ports.clear();
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "-" + ++starts + ".txt").toFile());
            process = builder.start();
            note("node %s starts (pid %d)", name, process.pid());
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(HOST, ready), 300);
                socket.setSoTimeout(800);
                socket.getOutputStream().write(("GET /v1/ready HTTP/1.1\r\nHost: " + HOST + "\r\n\r\n").getBytes());
                return message(socket.getInputStream()).status() == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        void awaitReady(long millis) {
            long end = System.nanoTime() + millis * 1_000_000;
            while (!isReady()) {
                if (!process.isAlive()) throw new IllegalStateException("node " + name + " ended with " + process.exitValue());
                if (System.nanoTime() > end) throw new IllegalStateException("node " + name + " is not ready");
                sleep(50);
            }
        }

        void signal(String name) throws IOException {
            note("SIG%s to node %s", name, this.name);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    // ---------------------------------------------------------------- clients

    /** The outcome of one client attempt. [status] is 0 if the connection ended without a complete answer. */
    record Answer(int status, String seal, int bytes, String retryAfter, String attempt) {}

    static final AtomicInteger IDS = new AtomicInteger();

    static String newId() {
        return String.format("%016x", 0x9c41d07be0000000L + IDS.incrementAndGet());
    }

    static String requestHead(String method, String host, String path, String id, long deadline, long length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nBaobabhollow-Attempt-Id: " + id
                + "\r\nBaobabhollow-Deadline-Ms: " + deadline + "\r\n"
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Sends one request on a new connection and waits for its answer until the deadline. */
    static Answer call(int port, String method, String host, String path, String id, long deadline, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 1_000);
            socket.setSoTimeout((int) deadline);
            byte[] head = requestHead(method, host, path, id, deadline, body == null ? -1 : body.length)
                    .getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(head);
            if (body != null) socket.getOutputStream().write(body);
            Message answer = message(new java.io.BufferedInputStream(socket.getInputStream()));
            if (answer == null) return new Answer(0, null, 0, null, id);
            return new Answer(answer.status(), answer.headers.get("Baobabhollow-Upstream-Seal"), answer.body.length,
                    answer.headers.get("Retry-After"), id);
        } catch (IOException | RuntimeException e) {
            return new Answer(0, null, 0, null, id);
        }
    }

    /** A configuration of one host. Routes are rows of name, prefix, type, service, timeout, latency target, priority. */
    static String config(int version, String[][] routes, String... services) {
        StringBuilder json = new StringBuilder("{\"version\":" + version + ",\"routes\":{");
        for (int i = 0; i < routes.length; i++) {
            String[] r = routes[i];
            json.append(i > 0 ? "," : "").append("\"").append(r[0]).append("\":{\"host\":\"shop.example\",\"path-prefix\":\"")
                    .append(r[1]).append("\",\"route-type\":\"").append(r[2]).append("\",\"timeout-s\":").append(r[4])
                    .append(",\"target-latency-s\":").append(r[5]).append(",\"priority\":").append(r[6])
                    .append(",\"service\":\"").append(r[3]).append("\",\"attempts\":2}");
        }
        json.append("},\"services\":{");
        for (int i = 0; i < services.length; i++) {
            json.append(i > 0 ? "," : "").append("\"").append(services[i])
                    .append("\":{\"health-check-path\":\"/healthcheck\",\"max-connections\":130,\"protocol\":\"h1\",\"tls\":false}");
        }
        return json + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,"
                + "\"idle-timeout-s\":15}}";
    }

    /** A case: it returns true if the rule held. */
    interface Case {
        boolean holds(Path folder, boolean hasTrouble) throws Exception;
    }

    static final List<Node> NODES = new ArrayList<>();

    /**
     * Runs [body] with a temporary folder and the record `record.txt` in the folder named by the first argument. Exits with
     * 0 if the rule held, 1 if it was broken, and 2 if the case could not run. Ends all nodes.
     */
    static void main(String[] arguments, Case body) {
        int code = 2;
        Path folder = null;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> NODES.forEach(Node::kill)));
        try {
            open(Path.of(arguments[0], "record.txt"));
            folder = Files.createTempDirectory("review");
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            note("TROUBLE=%d", hasTrouble ? 1 : 0);
            code = body.holds(folder, hasTrouble) ? 0 : 1;
        } catch (Exception e) {
            note("the case could not run: %s", e);
        }
        NODES.forEach(Node::kill);
        if (folder != null) deleteFolder(folder);
        note("%s", code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
        System.exit(code);
    }

    /** Calls [path] at [node] until it is served, so that the configuration is in force there and targets are known. */
    static void awaitService(Node node, String path) {
        long end = System.nanoTime() + 15_000_000_000L;
        while (call(node.callers, "GET", "shop.example", path, newId(), 1_000, null).status() != 200) {
            if (System.nanoTime() > end) throw new IllegalStateException(path + " is not served at " + node.name);
            sleep(100);
        }
    }

    static void deleteFolder(Path folder) {
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
