import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An upstream announces that it leaves, its node acknowledges that and is killed and started again. A heartbeat that
 * the upstream sent before it left arrives late. No request may reach the upstream later than drain-s after the
 * acknowledgement.
 */
public final class LateHeartbeat {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_WINDOW_MILLIS = 3_000;

    /** Time for which the upstream serves after the acknowledgement: drain-s and some seconds more. */
    private static final long SERVES_MILLIS = 5_500;
    private static final long JUDGED_MILLIS = 1_500;

    /** Delay of the heartbeat, longer only if the node has not started by then. */
    private static final long LATE_MILLIS = 2_500;
    private static final String CONFIG = """
        {"version":3,"routes":{"r-lock":{"host":"jepu9.example","path-prefix":"/lock/","route-type":"non_idempotent",
        "timeout-s":1.5,"target-latency-s":0.8,"priority":1,"service":"lots","attempts":2}},"services":{"lots":
        {"health-check-path":"/healthcheck","max-connections":130,"protocol":"h1","tls":false}},"limits":
        {"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}""";

    private final Deployment deployment;
    private final Set<String> lost = ConcurrentHashMap.newKeySet();
    private volatile boolean isDone;

    private LateHeartbeat(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.run(args, deployment -> new LateHeartbeat(deployment).isBroken());
    }

    private boolean isBroken() throws Exception {
        Deployment.Machine leaving = deployment.add("side-a-1", "cr-central-a", "lots");
        deployment.add("side-b-1", "cr-central-b", "lots");
        deployment.add("side-c-1", "cr-central-c", "lots");
        deployment.add("side-d-1", "cr-central-d", "lots");
        deployment.start(CONFIG, Map.of("lots", List.of("quiet=1", "slots=6", "work-ms=290", "beat-ms=870")));
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 24; i++) clients.add(client(deployment.machines.get(1 + i % 3), "lock-" + i));
        Thread.sleep(2_000);
        deployment.command(leaving, "hold");
        deployment.command(leaving, "leave");
        deployment.await("acknowledgement", () -> leaving.upstreamLines.stream().anyMatch(this::isAcknowledgement), 5);
        long acknowledgedAt = millis();
        deployment.log("the node has acknowledged that the upstream leaves");
        Thread.sleep(300);
        long startedAt = acknowledgedAt;
        if (deployment.hasTrouble) {
            deployment.kill("node " + leaving.name, leaving.node);
            Thread.sleep(300);
            deployment.startNode(leaving);
            startedAt = millis();
        }
        sleepUntil(acknowledgedAt + LATE_MILLIS);
        deployment.await("node " + leaving.name + " started", () -> deployment.isReady(leaving), 10);
        deployment.command(leaving, "release");
        sleepUntil(startedAt + STABLE_WINDOW_MILLIS);
        deployment.log("node " + leaving.name + " is in touch");
        long judgedFrom = Math.max(startedAt + STABLE_WINDOW_MILLIS, acknowledgedAt + DRAIN_MILLIS);
        Map<String, Long> before = runs(leaving);
        sleepUntil(Math.max(acknowledgedAt + SERVES_MILLIS, judgedFrom + JUDGED_MILLIS));
        Map<String, Long> late = runs(leaving);
        late.keySet().removeAll(before.keySet());
        deployment.command(leaving, "exit");
        Thread.sleep(2_000);
        isDone = true;
        for (Thread client : clients) client.join(5_000);
        long lateAndLost = late.keySet().stream().filter(lost::contains).count();
        deployment.log("requests that reached the upstream from " + (judgedFrom - acknowledgedAt)
            + " ms after the acknowledgement on: " + late.size()
            + ", of these without the upstream's answer: " + lateAndLost);
        return !late.isEmpty();
    }

    private boolean isAcknowledgement(String line) {
        return line.startsWith("announced instances.leave") && line.contains(" 200 ");
    }

    private static Map<String, Long> runs(Deployment.Machine machine) {
        Map<String, Long> result = new ConcurrentHashMap<>();
        for (String line : machine.upstreamLines) {
            if (line.startsWith("run ")) result.put(line.split(" ")[1], 1L);
        }
        return result;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - millis()));
    }

    private Thread client(Deployment.Machine machine, String name) {
        Thread thread = new Thread(() -> {
            for (int i = 0; !isDone; i++) {
                request(machine, name + "-" + i);
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void request(Deployment.Machine machine, String id) {
        String end;
        try (Socket socket = Deployment.connect(machine, 3_000)) {
            Deployment.sendHead(socket.getOutputStream(), "POST", "/lock/lot", id, 3_000, 0);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                end = "closed without an answer";
            } else {
                Http.readBody(in, head);
                end = head.line() + " " + head.header("x-baobabhollow-reason");
            }
        } catch (IOException e) {
            end = "failed: " + e;
        }
        if (!end.startsWith("HTTP/1.1 200")) lost.add(id);
        deployment.log("client of " + machine.name + " " + id + ": " + end);
    }
}
