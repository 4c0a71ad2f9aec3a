import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream says that it leaves, and its node is killed and starts again. The health path says that the upstream is well,
 * and the upstream fails all that reaches it.
 */
final class DrainCase {
    private static final double DRAIN_SECONDS = 2.5;
    private static final double STABLE_SECONDS = 3;
    private static final double SERVES_SECONDS = 7;

    public static void main(String[] arguments) {
        Kit.main(arguments, (folder, hasTrouble) -> {
            Map<String, Double> reached = new ConcurrentHashMap<>();
            Kit.Work work = (upstream, request, in, out, socket) -> {
                reached.put(request.headers.get("Baobabhollow-Attempt-Id"), Kit.seconds());
                if (upstream.liesGood) {
                    Kit.FAILING.run(upstream, request, in, out, socket);
                } else {
                    Kit.PLAIN.run(upstream, request, in, out, socket);
                }
            };
            Kit.Store store = new Kit.Store();
            Kit.Node a = new Kit.Node(folder, "node-a", "zone-a", "pedidos", store.port);
            Kit.Node b = new Kit.Node(folder, "node-b", "zone-b", "pedidos", store.port);
            List<Kit.Node> entries = new ArrayList<>();
            for (String name : List.of("node-c", "node-d", "node-e")) {
                entries.add(new Kit.Node(folder, name, "zone-a", "taller", store.port));
            }
            for (Kit.Node node : Kit.NODES) node.drainSeconds = DRAIN_SECONDS;
            store.put("keyed.op", "config", Kit.config(1, new String[][] {
                {"r-read", "/read/", "idempotent", "pedidos", "1.2", "0.3", "2"},
                {"r-design", "/design/", "idempotent", "taller", "1.2", "0.3", "2"},
                {"r-order", "/order/", "non_idempotent", "pedidos", "1.5", "0.4", "1"},
            }, "pedidos", "taller"));
            a.start();
            b.start();
            for (Kit.Node entry : entries) entry.start();
            Kit.Upstream leaving = new Kit.Upstream("i-leaving", "pedidos", a.target, a.announcements, 12, work);
            Kit.Upstream staying = new Kit.Upstream("i-staying", "pedidos", b.target, b.announcements, 12, work);
            leaving.startBeats();
            staying.startBeats();
            for (Kit.Node entry : entries) {
                new Kit.Upstream("i-" + entry.name, "taller", entry.target, entry.announcements, 12, work).startBeats();
            }
            for (Kit.Node node : Kit.NODES) {
                node.awaitReady(20_000);
                Kit.awaitService(node, "/read/1");
            }
            Kit.sleep(3_500);
            leaving.liesGood = hasTrouble;
            leaving.silence();
            if (!leaving.leave()) throw new IllegalStateException("the leave was not acknowledged");
            double acknowledged = Kit.seconds();
            Kit.sleep(100);
            a.kill();
            Kit.note("node-a was killed");
            Kit.sleep(500);
            a.start();
            double started = Kit.seconds();
            AtomicInteger late = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            List<Thread> orders = new ArrayList<>();
            while (Kit.seconds() < acknowledged + SERVES_SECONDS + 1) {
                if (Kit.seconds() > acknowledged + SERVES_SECONDS && leaving.isOpen()) {
                    leaving.close();
                    Kit.note("the leaving upstream has ended");
                }
                Kit.Node entry = entries.get(orders.size() % entries.size());
                orders.add(Kit.go(() -> {
                    String id = Kit.newId();
                    double sent = Kit.seconds();
                    Kit.Answer answer = Kit.call(entry.callers, "POST", "shop.example", "/order/x?ms=200", id, 1_500, new byte[20]);
                    boolean isLeft = leaving.runsOf(id) > 0;
                    Kit.quiet("POST %s at %s: status %d, run by %s", id, entry.name, answer.status(), isLeft ? "i-leaving" : "another or none");
                    if (!isLeft) return;
                    double at = reached.get(id);
                    if (sent <= started + STABLE_SECONDS || at <= acknowledged + DRAIN_SECONDS) return;
                    late.incrementAndGet();
                    if (answer.status() != 200) lost.incrementAndGet();
                    Kit.note("POST %s reached i-leaving %.2f s after the acknowledgement, answer %d", id, at - acknowledged,
                            answer.status());
                }));
                Kit.sleep(50);
            }
            for (Thread order : orders) order.join();
            Kit.note("late orders at the upstream that had left: %d; of these without a good answer: %d", late.get(), lost.get());
            if (staying.runs.size() < 20) throw new IllegalStateException("too few requests were served by the other upstream");
            return late.get() == 0;
        });
    }
}
