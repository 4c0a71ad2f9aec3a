import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The clients of a zone upload photos, each one at a time. During a burst there are 1.7 times as many for 3 s. Requests
 * must have an answer by the timeout of their route.
 */
public final class UploadBurst {
    /** Clients of the zone in usual times. */
    private static final int CLIENTS = 39;

    /** Clients of the zone during the burst: 1.7 times as many. */
    private static final int BURST_CLIENTS = 66;
    private static final int BODY_BYTES = 520_000;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final long USUAL_MILLIS = 6_000;
    private static final long BURST_MILLIS = 3_000;
    private static final long AFTERWARDS_MILLIS = 20_000;
    private static final String CONFIG = """
        {"version":3,"routes":{"r-upload":{"host":"jepu9.example","path-prefix":"/upload/","route-type":"upload",
        "timeout-s":1.5,"target-latency-s":0.8,"priority":1,"service":"intake","attempts":2},"r-read":
        {"host":"jepu9.example","path-prefix":"/read/","route-type":"idempotent",
        "timeout-s":1.2,"target-latency-s":0.6,"priority":2,"service":"intake","attempts":2}},"services":{"intake":
        {"health-check-path":"/healthcheck","max-connections":130,"protocol":"h1","tls":false}},"limits":
        {"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}""";

    /** A request. [endMillis] is the time at which its answer was complete, or null if there was none. */
    private record Sent(String id, long timeoutMillis, long startMillis, Long endMillis, String end) {}

    private final Deployment deployment;
    private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    private volatile boolean isDone;

    private UploadBurst(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(args, deployment -> new UploadBurst(deployment).isBroken());
    }

    private boolean isBroken() throws Exception {
        Deployment.Machine node = deployment.add("side-a-1", "cr-central-a", "intake");
        deployment.add("side-b-1", "cr-central-b", "intake");
        deployment.add("side-c-1", "cr-central-c", "intake");
        deployment.add("side-d-1", "cr-central-d", "intake");
        deployment.start(CONFIG, Map.of("intake", List.of("quiet=1", "slots=6", "work-ms=260")));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) threads.add(client(node, "usual-" + i, Long.MAX_VALUE));
        threads.add(reader(node));
        Thread.sleep(USUAL_MILLIS);
        long burstAt = millis();
        if (deployment.hasTrouble) {
            deployment.log("burst begins");
            long until = burstAt + BURST_MILLIS;
            for (int i = CLIENTS; i < BURST_CLIENTS; i++) threads.add(client(node, "burst-" + i, until));
        }
        Thread.sleep(BURST_MILLIS);
        deployment.log("burst is over");
        Thread.sleep(AFTERWARDS_MILLIS);
        long judgedUntil = millis() - DEADLINE_MILLIS;
        isDone = true;
        for (Thread thread : threads) thread.join(10_000);
        deployment.showNodeLog(node, "direct buffer memory", 1);
        deployment.log("before the burst: " + summary(0, burstAt - DEADLINE_MILLIS));
        deployment.log("during the burst: " + summary(burstAt, burstAt + BURST_MILLIS));
        deployment.log("after the burst: " + summary(burstAt + BURST_MILLIS, judgedUntil));
        deployment.log("judged: " + summary(burstAt, judgedUntil) + " ready=" + deployment.isReady(node) + " alive="
            + node.node.isAlive());
        return isRuleBroken(burstAt, judgedUntil);
    }

    /** More than half of the requests unanswered at their route's timeout, eight at least, lack one 0.5 s later. */
    private boolean isRuleBroken(long from, long until) {
        long atTimeout = sent.stream().filter(it -> isIn(it, from, until) && isUnanswered(it, 0)).count();
        long later = sent.stream().filter(it -> isIn(it, from, until) && isUnanswered(it, 500)).count();
        return later >= 8 && later * 2 > atTimeout;
    }

    private String summary(long from, long until) {
        long all = sent.stream().filter(it -> isIn(it, from, until)).count();
        long good = sent.stream().filter(it -> isIn(it, from, until) && it.end().startsWith("HTTP/1.1 200")).count();
        long atTimeout = sent.stream().filter(it -> isIn(it, from, until) && isUnanswered(it, 0)).count();
        long later = sent.stream().filter(it -> isIn(it, from, until) && isUnanswered(it, 500)).count();
        long ran =
            sent.stream().filter(it -> isIn(it, from, until) && it.endMillis() == null && hasRun(it.id())).count();
        return "requests=" + all + " answered 200=" + good + " unanswered at timeout-s=" + atTimeout
            + " and 0.5 s later=" + later + " run but never answered=" + ran;
    }

    private boolean hasRun(String id) {
        String start = "run " + id + " ";
        return deployment.machines.stream()
            .flatMap(it -> it.upstreamLines.stream())
            .anyMatch(it -> it.startsWith(start));
    }

    private static boolean isIn(Sent request, long from, long until) {
        return request.startMillis() >= from && request.startMillis() < until;
    }

    private static boolean isUnanswered(Sent request, long afterTimeoutMillis) {
        long limit = request.startMillis() + request.timeoutMillis() + afterTimeoutMillis;
        return request.endMillis() == null || request.endMillis() > limit;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private Thread client(Deployment.Machine node, String name, long untilMillis) {
        return start(() -> {
            for (int i = 0; !isDone && millis() < untilMillis; i++) {
                request(node, "POST", "/upload/photo", name + "-" + i, TIMEOUT_MILLIS, new byte[BODY_BYTES]);
                pause(100);
            }
        });
    }

    private Thread reader(Deployment.Machine node) {
        return start(() -> {
            for (int i = 0; !isDone; i++) {
                request(node, "GET", "/read/sheet", "read-" + i, 1_200, new byte[0]);
                pause(200);
            }
        });
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends a request on a new connection and waits for its answer until the client's deadline. */
    private void request(Deployment.Machine node, String method, String path, String id, long timeout, byte[] body) {
        long start = millis();
        String end;
        try (Socket socket = Deployment.connect(node, (int) DEADLINE_MILLIS)) {
            Thread timer = start(() -> closeAfter(socket, DEADLINE_MILLIS));
            Deployment.sendHead(socket.getOutputStream(), method, path, id, DEADLINE_MILLIS, body.length);
            socket.getOutputStream().write(body);
            start = millis();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                end = "closed without an answer";
            } else {
                Http.Body answer = Http.readBody(in, head);
                end = head.line() + " " + head.header("x-baobabhollow-reason") + (answer.isComplete() ? "" : " cut");
            }
            timer.interrupt();
        } catch (IOException e) {
            end = "failed: " + e;
        }
        Long endMillis = end.startsWith("HTTP") ? millis() : null;
        sent.add(new Sent(id, timeout, start, endMillis, end));
        deployment.log("client " + id + " after " + (millis() - start) + " ms: " + end);
    }

    private static void closeAfter(Socket socket, long millis) {
        try {
            Thread.sleep(millis);
            socket.close();
        } catch (InterruptedException | IOException e) {
            // Answered in time, or closed already.
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
