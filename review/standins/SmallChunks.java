import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload manifests in chunks of a few bytes, beside clients that lock lots on kept connections. A node that
 * ends is started again after a short delay, as the platform does. Nodes must not end by themselves. With TROUBLE=0 the
 * same bodies are sent with a length.
 */
public final class SmallChunks {
    private static final int UPLOADING_CLIENTS = 30;
    private static final int LOCKING_CLIENTS = 8;
    private static final int CHUNK_BYTES = 8;
    private static final int BODY_BYTES = 360_000;

    /** Pause of a client between uploads: all clients together upload about 9 manifests a second. */
    private static final long PAUSE_MILLIS = 3_000;
    private static final long RUN_MILLIS = 80_000;
    private static final long RESTART_MILLIS = 500;

    /** Ends of a process by itself on each of at least two machines that break the rule. */
    private static final int ENDS = 3;
    private static final int MACHINES = 2;
    private static final String CONFIG = """
        {"version":3,"routes":{"r-upload":{"host":"jepu9.example","path-prefix":"/upload/","route-type":"upload",
        "timeout-s":3,"target-latency-s":0.8,"priority":1,"service":"intake","attempts":2},"r-lock":
        {"host":"jepu9.example","path-prefix":"/lock/","route-type":"non_idempotent",
        "timeout-s":1.5,"target-latency-s":0.8,"priority":1,"service":"intake","attempts":2}},"services":{"intake":
        {"health-check-path":"/healthcheck","max-connections":130,"protocol":"h1","tls":false}},"limits":
        {"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}""";

    private final Deployment deployment;
    private final byte[] body = new byte[BODY_BYTES];
    private final Map<String, Integer> ends = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> closedWithoutAnswer = new ConcurrentLinkedQueue<>();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger locks = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean isDone;

    private SmallChunks(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(args, deployment -> new SmallChunks(deployment).isBroken());
    }

    private boolean isBroken() throws Exception {
        for (String zone : List.of("a", "b", "c", "d")) {
            deployment.add("side-" + zone + "-1", "cr-central-" + zone, "intake");
        }
        deployment.start(CONFIG, Map.of("intake", List.of("quiet=1", "slots=6", "work-ms=260")));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LOCKING_CLIENTS; i++) {
            threads.add(client(deployment.machines.get(i % 4), "lock-" + i, 20, this::lock));
        }
        for (int i = 0; i < UPLOADING_CLIENTS; i++) {
            threads.add(client(deployment.machines.get(i % 2), "manifest-" + i, PAUSE_MILLIS, this::upload));
            Thread.sleep(PAUSE_MILLIS / UPLOADING_CLIENTS);
        }
        for (long until = millis() + RUN_MILLIS; millis() < until && !isRuleBroken();) {
            for (Deployment.Machine machine : deployment.machines) restartIfEnded(machine);
            Thread.sleep(50);
        }
        isDone = true;
        for (Thread thread : threads) thread.join(10_000);
        for (Deployment.Machine machine : deployment.machines) deployment.showNodeLog(machine, "OutOfMemoryError", 1);
        long lost = closedWithoutAnswer.stream().filter(this::wasPassedOn).count();
        deployment.log("uploads answered 200=" + uploads + " locks answered 200=" + locks
            + " other answers=" + refused);
        deployment.log("requests from kept connections that were passed on and not answered: " + lost);
        deployment.log("ends of nodes by themselves: " + ends);
        return isRuleBroken();
    }

    private boolean isRuleBroken() {
        return ends.values().stream().filter(it -> it >= ENDS).count() >= MACHINES;
    }

    private void restartIfEnded(Deployment.Machine machine) throws Exception {
        if (machine.node.isAlive()) return;
        deployment.log("node " + machine.name + " has ended by itself with exit code " + machine.node.exitValue());
        ends.merge(machine.name, 1, Integer::sum);
        Thread.sleep(RESTART_MILLIS);
        deployment.startNode(machine);
    }

    private boolean wasPassedOn(String id) {
        return deployment.machines.stream().anyMatch(it -> it.upstreamLines.contains("arrived " + id));
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Sends one request and returns true if the connection is kept. */
    private interface Exchange {
        boolean send(String id, BufferedInputStream in, OutputStream out) throws IOException;
    }

    /** Sends requests one after the other on a connection, and opens a new one when it is closed. */
    private Thread client(Deployment.Machine machine, String name, long pauseMillis, Exchange exchange) {
        Thread thread = new Thread(() -> {
            for (int number = 0; !isDone;) {
                String id = "";
                int onConnection = 0;
                try (Socket socket = Deployment.connect(machine, 4_000)) {
                    BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                    OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 16_384);
                    boolean isKept = true;
                    while (!isDone && isKept) {
                        id = name + "-" + number++;
                        onConnection++;
                        isKept = exchange.send(id, in, out);
                        pause(pauseMillis);
                    }
                } catch (IOException e) {
                    deployment.log("client " + id + ", request " + onConnection + " of its connection: " + e);
                    boolean isTimeout = e instanceof java.net.SocketTimeoutException;
                    if (onConnection > 1 && !isTimeout) closedWithoutAnswer.add(id);
                    pause(500);
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private boolean lock(String id, BufferedInputStream in, OutputStream out) throws IOException {
        Deployment.sendHead(out, "POST", "/lock/lot", id, 3_000, 0);
        return isKeptAfterAnswer(id, in, locks);
    }

    private boolean upload(String id, BufferedInputStream in, OutputStream out) throws IOException {
        if (deployment.hasTrouble) sendInChunks(id, out);
        else {
            Deployment.sendHead(out, "POST", "/upload/manifest", id, 3_000, BODY_BYTES);
            out.write(body);
            out.flush();
        }
        return isKeptAfterAnswer(id, in, uploads);
    }

    private void sendInChunks(String id, OutputStream out) throws IOException {
        out.write(("POST /upload/manifest HTTP/1.1\r\nHost: jepu9.example\r\nBaobabhollow-Attempt-Id: " + id
            + "\r\nBaobabhollow-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        chunk.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes());
        chunk.write(body, 0, CHUNK_BYTES);
        chunk.write("\r\n".getBytes());
        for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) out.write(chunk.toByteArray());
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }

    private boolean isKeptAfterAnswer(String id, BufferedInputStream in, AtomicInteger good) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) throw new IOException("closed without an answer");
        Http.readBody(in, head);
        if (head.status() == 200) good.incrementAndGet();
        else {
            refused.incrementAndGet();
            deployment.log("client " + id + ": " + head.line() + " " + head.header("x-baobabhollow-reason"));
        }
        return !"close".equalsIgnoreCase(head.header("connection"));
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
