import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Uploads wait for a busy upstream, and their clients leave. */
final class GoneCase {
    private static final int ROUNDS = 4;
    private static final int UPLOADS = 4;
    private static final int BYTES = 200_000;

    public static void main(String[] arguments) {
        Kit.main(arguments, (folder, hasTrouble) -> {
            Map<String, Double> reached = new ConcurrentHashMap<>();
            Map<String, Double> closed = new ConcurrentHashMap<>();
            Kit.Work work = (upstream, request, in, out, socket) -> {
                reached.put(request.headers.get("Baobabhollow-Attempt-Id"), Kit.seconds());
                Kit.PLAIN.run(upstream, request, in, out, socket);
            };
            Kit.Store store = new Kit.Store();
            Kit.Node a = new Kit.Node(folder, "node-a", "zone-a", "clipvault", store.port);
            store.put("keyed.op", "config", Kit.config(1, new String[][] {
                {"r-fetch", "/fetch/", "idempotent", "clipvault", "10.0", "5.0", "2"},
                {"r-upload", "/upload/", "upload", "clipvault", "5.0", "1.6", "1"},
            }, "clipvault"));
            a.start();
            Kit.Upstream upstream = new Kit.Upstream("i-clip", "clipvault", a.target, a.announcements, 4, work);
            upstream.startBeats();
            a.awaitReady(20_000);
            Kit.awaitService(a, "/fetch/1");
            Kit.sleep(3_500);
            List<String> ids = new ArrayList<>();
            int served = 0;
            for (int round = 0; round < ROUNDS; round++) {
                List<Thread> threads = new ArrayList<>();
                for (int i = 0; i < 4; i++) {
                    threads.add(Kit.go(() -> Kit.call(a.callers, "GET", "shop.example", "/fetch/x?ms=1100", Kit.newId(), 5_000, null)));
                }
                Kit.sleep(150);
                List<Kit.Answer> answers = new ArrayList<>();
                for (int i = 0; i < UPLOADS; i++) {
                    String id = Kit.newId();
                    ids.add(id);
                    threads.add(Kit.go(() -> {
                        if (hasTrouble) {
                            leave(a, id, closed);
                            return;
                        }
                        Kit.Answer answer =
                                Kit.call(a.callers, "POST", "shop.example", "/upload/x?ms=100", id, 5_000, new byte[BYTES]);
                        synchronized (answers) {
                            answers.add(answer);
                        }
                    }));
                }
                for (Thread thread : threads) thread.join();
                Kit.sleep(1_500);
                served += (int) answers.stream().filter(answer -> answer.status() == 200).count();
            }
            int late = 0;
            for (String id : ids) {
                Double left = closed.get(id);
                Double at = reached.get(id);
                Kit.note("upload %s: client closed at %s, reached the upstream at %s", id, left, at);
                if (left != null && at != null && at - left > 0.5) late++;
            }
            Kit.note("of %d uploads, %d reached the upstream over 0.5 s after their client had closed; served %d", ids.size(), late,
                    served);
            if (!hasTrouble && served < ids.size() / 2) throw new IllegalStateException("too few uploads were served");
            return late <= 3;
        });
    }

    /** Sends a whole upload and closes the connection 0.3 s after its start, half of the time that the kind allows. */
    private static void leave(Kit.Node node, String id, Map<String, Double> closed) {
        try {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(Kit.HOST, node.callers), 1_000);
            double start = Kit.seconds();
            Thread writer = Kit.go(() -> {
                try {
                    socket.getOutputStream().write(
                            Kit.requestHead("POST", "shop.example", "/upload/x?ms=100", id, 5_000, BYTES).getBytes());
                    socket.getOutputStream().write(new byte[BYTES]);
                } catch (IOException e) {
                    Kit.note("upload %s: sending ended: %s", id, e);
                }
            });
            Kit.sleep(300);
            closed.put(id, Kit.seconds());
            socket.close();
            writer.join();
            Kit.quiet("upload %s: begun at %.3f, closed", id, start);
        } catch (IOException | InterruptedException e) {
            Kit.note("upload %s: %s", id, e);
        }
    }
}
