import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A new version is ordered, its only upstream crashes for good, and the move is still reported as completed. */
final class RolloutCase {
    private static final double RECOVER_SECONDS = 15;
    private static final int DURATION_SECONDS = 12;

    public static void main(String[] arguments) {
        Kit.main(arguments, (folder, hasTrouble) -> {
            Kit.Store store = new Kit.Store();
            List<Kit.Node> nodes = new ArrayList<>();
            List<Kit.Upstream> old = new ArrayList<>();
            store.put("keyed.op", "config", Kit.config(1, new String[][] {
                {"r-read", "/read/", "idempotent", "pedidos", "1.2", "0.3", "2"},
                {"r-order", "/order/", "non_idempotent", "pedidos", "1.5", "0.4", "1"},
            }, "pedidos"));
            for (String name : List.of("a", "b")) {
                Kit.Node node = new Kit.Node(folder, "node-" + name, "zone-" + name, "pedidos", store.port);
                node.start();
                nodes.add(node);
                Kit.Upstream upstream =
                        new Kit.Upstream("i-old-" + name, "pedidos", node.target, node.announcements, 12, Kit.PLAIN);
                upstream.startBeats();
                old.add(upstream);
            }
            for (Kit.Node node : nodes) {
                node.awaitReady(20_000);
                Kit.awaitService(node, "/read/1");
            }
            Kit.sleep(2_000);
            AtomicBoolean isOver = new AtomicBoolean();
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            Thread traffic = Kit.go(() -> {
                List<Thread> orders = new ArrayList<>();
                for (int i = 0; !isOver.get(); i++) {
                    Kit.Node node = nodes.get(i % 2);
                    orders.add(Kit.go(() -> {
                        String id = Kit.newId();
                        sent.incrementAndGet();
                        Kit.Answer answer = Kit.call(node.callers, "POST", "shop.example", "/order/x?ms=300", id, 1_500, new byte[20]);
                        boolean isAtOld = old.stream().anyMatch(upstream -> upstream.runsOf(id) > 0);
                        Kit.quiet("POST %s at %s: status %d%s", id, node.name, answer.status(), isAtOld ? ", at an old upstream" : "");
                        if (answer.status() == 200) served.incrementAndGet();
                        if (answer.status() != 200 && isAtOld) lost.incrementAndGet();
                    }));
                    Kit.sleep(100);
                }
                orders.forEach(RolloutCase::join);
            });
            Kit.sleep(1_000);
            store.put("keyed.op", "rollout/pedidos",
                    "{\"service\":\"pedidos\",\"target-version\":\"v2\",\"duration-s\":" + DURATION_SECONDS + "}");
            Kit.note("version v2 is ordered for %d s", DURATION_SECONDS);
            Kit.Node added = new Kit.Node(folder, "node-c", "zone-a", "pedidos", store.port);
            added.start();
            Kit.Upstream next = new Kit.Upstream("i-new", "pedidos", added.target, added.announcements, 12, Kit.PLAIN);
            next.version = "v2";
            next.startBeats();
            added.awaitReady(20_000);
            if (hasTrouble) {
                next.silence();
                next.close();
                Kit.note("the upstream of v2 has crashed, for good");
            }
            String status = "";
            double end = Kit.seconds() + DURATION_SECONDS + 5;
            while (Kit.seconds() < end && !status.contains("\"completed\"") && !status.contains("\"rolled_back\"")) {
                Kit.sleep(20);
                status = store.value("keyed.status", "rollout/pedidos");
            }
            Kit.note("status/rollout/pedidos: %s", status);
            if (status.contains("\"completed\"")) {
                for (Kit.Upstream upstream : old) {
                    upstream.silence();
                    upstream.close();
                }
                Kit.note("at completed, the old upstreams stop immediately");
            }
            Kit.sleep(2_000);
            isOver.set(true);
            join(traffic);
            Kit.note("before the final fault: %d orders sent, %d served, %d begun by an old upstream and without a good answer",
                    sent.get(), served.get(), lost.get());
            if (served.get() * 4 < sent.get()) throw new IllegalStateException("less than a quarter was served before");
            nodes.add(added);
            nodes.forEach(Kit.Node::kill);
            Kit.note("final fault: all processes are killed");
            Kit.sleep(1_200);
            for (Kit.Node node : nodes) node.start();
            Kit.sleep((long) (RECOVER_SECONDS * 1_000) + 500);
            int good = 0;
            for (int i = 0; i < 40; i++) {
                String path = i % 2 == 0 ? "/read/x" : "/order/x";
                Kit.Answer answer = Kit.call(nodes.get(i % 3).callers, i % 2 == 0 ? "GET" : "POST", "shop.example", path, Kit.newId(),
                        1_200, i % 2 == 0 ? null : new byte[20]);
                Kit.quiet("%s at %s: status %d", path, nodes.get(i % 3).name, answer.status());
                if (answer.status() == 200) good++;
                Kit.sleep(150);
            }
            Kit.note("later than %.0f s after the machines are back: %d of 40 served", RECOVER_SECONDS, good);
            return good * 4 >= 40;
        });
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
