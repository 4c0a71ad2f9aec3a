import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an upstream. Arguments are KEY=VALUE: port, id, service, control (port of its node), slots, beat-ms,
 * work-ms. It writes a line for each request that it runs. Commands on standard input: "hold" (keeps back one heartbeat
 * that is due now), "release" (sends it), "leave" and "exit".
 */
public final class Upstream {
    private final Map<String, String> options;
    private final int port;
    private final int control;
    private final String id;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Semaphore slots;
    private volatile boolean isBeating = true;
    private volatile boolean hasLeft;
    private String held;

    private Upstream(Map<String, String> options) {
        this.options = options;
        port = Integer.parseInt(options.get("port"));
        control = Integer.parseInt(options.get("control"));
        id = options.get("id");
        slots = new Semaphore(Integer.parseInt(options.getOrDefault("slots", "6")), true);
    }

    public static void main(String[] args) throws Exception {
        Map<String, String> options = new HashMap<>();
        for (String arg : args) options.put(arg.split("=", 2)[0], arg.split("=", 2)[1]);
        new Upstream(options).run();
    }

    private void run() throws Exception {
        ServerSocket server = new ServerSocket();
        // A small window, as on the users' links: a peer that does not read soon blocks the writer.
        server.setReceiveBufferSize(65_536);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        log("listening");
        start(this::beat);
        start(this::commands);
        while (true) {
            Socket socket = server.accept();
            start(() -> serve(socket));
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static synchronized void log(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private void beat() {
        long pause = Long.parseLong(options.getOrDefault("beat-ms", "500"));
        while (true) {
            if (isBeating) post("instances.heartbeat", beatBody());
            sleep(pause);
        }
    }

    private String beatBody() {
        return "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\""
            + options.get("service") + "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":"
            + options.getOrDefault("slots", "6") + "},\"status\":{\"state\":\"ready\",\"sequence\":"
            + sequence.incrementAndGet() + ",\"warmup-left-s\":0}}";
    }

    private void commands() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in))) {
            String line;
            while ((line = in.readLine()) != null) {
                switch (line) {
                    case "leave" -> {
                        isBeating = false;
                        hasLeft = true;
                        post("instances.leave", "{\"born\":" + born + "}");
                    }
                    case "hold" -> held = beatBody();
                    case "release" -> post("instances.heartbeat", held);
                    case "exit" -> {
                        log("exits with " + running.get() + " requests at work");
                        System.exit(0);
                    }
                    default -> log("unknown command " + line);
                }
            }
        } catch (IOException e) {
            log("commands ended " + e);
        }
    }

    private void post(String call, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", control), 1_000);
            socket.setSoTimeout(1_000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(("POST /v1/rpc?call=" + call + "&of=" + id + " HTTP/1.1\r\nHost: node\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                + "\r\nConnection: close\r\n\r\n").getBytes());
            socket.getOutputStream().write(bytes);
            Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            if (!call.endsWith("heartbeat") || !options.containsKey("quiet")) {
                log("announced " + call + " " + (head == null ? "no answer" : head.status()) + " " + body);
            }
        } catch (IOException e) {
            log("announcing failed " + call + " " + e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 8_192);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                if (head.line().startsWith("GET /healthcheck ")) {
                    health(out);
                    continue;
                }
                String expected = head.header("baobabhollow-expected-instance");
                if (expected != null && !expected.equals(id)) {
                    Http.readBody(in, withLength(head));
                    write(out, "421 Misdirected Request", head, "Baobabhollow-Upstream-Instance: " + id, "");
                    continue;
                }
                if (!handle(in, out, head)) return;
            }
        } catch (IOException e) {
            // The peer has closed or reset the connection.
        }
    }

    private void health(OutputStream out) throws IOException {
        boolean isReady = !hasLeft;
        out.write(("HTTP/1.1 " + (isReady ? "200 OK" : "503 Service Unavailable")
            + "\r\nBaobabhollow-Upstream-Instance: " + id
            + "\r\nBaobabhollow-Upstream-Load: " + running.get() + ",0," + options.getOrDefault("slots", "6")
            + "\r\nContent-Length: 0\r\n\r\n").getBytes());
    }

    /** Returns false if the connection ends with this request. */
    private boolean handle(BufferedInputStream in, OutputStream out, Http.Head head) throws IOException {
        log("arrived " + idOf(head));
        Http.Body body = Http.readBody(in, withLength(head));
        if (!body.isComplete()) {
            log("cut " + idOf(head) + " " + head.line());
            return false;
        }
        slots.acquireUninterruptibly();
        running.incrementAndGet();
        log("run " + idOf(head) + " " + head.line() + " caller=" + head.header("baobabhollow-caller-service")
            + " bytes=" + body.bytes().length);
        try {
            sleep(Long.parseLong(options.getOrDefault("work-ms", "20")));
        } finally {
            running.decrementAndGet();
            slots.release();
        }
        write(out, "200 OK", head, "Baobabhollow-Upstream-Seal: seal-" + idOf(head), "done " + idOf(head));
        log("answered " + idOf(head));
        return true;
    }

    private static Http.Head withLength(Http.Head head) {
        if (head.header("content-length") == null && head.header("transfer-encoding") == null) {
            head.headers().put("content-length", "0");
        }
        return head;
    }

    private static String idOf(Http.Head head) {
        return head.header("baobabhollow-attempt-id");
    }

    private static void write(OutputStream out, String status, Http.Head head, String extra, String body)
        throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nBaobabhollow-Attempt-Id: " + idOf(head) + "\r\n" + extra
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
        out.flush();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
