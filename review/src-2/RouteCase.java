import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A route with a longer prefix is added; requests whose path does not begin with that prefix, but holds an escaped slash. */
final class RouteCase {
    private static final String[][] BEFORE = {
        {"r-sheets", "/sheets/", "idempotent", "sheets", "2.5", "0.6", "2"},
        {"r-locks", "/locks/", "non_idempotent", "sheets", "3.0", "0.8", "1"},
        {"r-ping", "/ping/", "idempotent", "intake", "2.5", "0.6", "2"},
    };
    private static final String[][] ADDED = {
        {"r-draft", "/sheets/draft/", "idempotent", "intake", "2.5", "0.6", "2"},
        {"r-express", "/locks/express/", "non_idempotent", "intake", "3.0", "0.8", "1"},
    };

    public static void main(String[] arguments) {
        Kit.main(arguments, (folder, hasTrouble) -> {
            Map<String, String> runBy = new ConcurrentHashMap<>();
            Kit.Work work = (upstream, request, in, out, socket) -> {
                runBy.put(request.headers.get("Baobabhollow-Attempt-Id"), upstream.service);
                Kit.PLAIN.run(upstream, request, in, out, socket);
            };
            Kit.Store store = new Kit.Store();
            Kit.Node a = new Kit.Node(folder, "node-a", "zone-a", "sheets", store.port);
            Kit.Node b = new Kit.Node(folder, "node-b", "zone-b", "intake", store.port);
            store.put("keyed.op", "config", Kit.config(1, BEFORE, "sheets", "intake"));
            a.start();
            b.start();
            new Kit.Upstream("i-sheets", "sheets", a.target, a.announcements, 6, work).startBeats();
            new Kit.Upstream("i-intake", "intake", b.target, b.announcements, 6, work).startBeats();
            a.awaitReady(20_000);
            b.awaitReady(20_000);
            for (Kit.Node node : List.of(a, b)) {
                Kit.awaitService(node, "/sheets/1");
                Kit.awaitService(node, "/ping/1");
            }
            Kit.sleep(3_500);
            if (hasTrouble) {
                List<String[]> rows = new ArrayList<>(List.of(BEFORE));
                rows.addAll(List.of(ADDED));
                store.put("keyed.op", "config", Kit.config(2, rows.toArray(new String[0][]), "sheets", "intake"));
                Kit.note("version 2, which adds /sheets/draft/ and /locks/express/ (service intake), is acknowledged");
            }
            Kit.sleep(2_500);
            int wrong = 0;
            int right = 0;
            for (int i = 0; i < 10; i++) {
                Kit.Node node = i % 2 == 0 ? a : b;
                boolean isRead = i < 6;
                String path = (isRead ? "/sheets/draft%2Ftuna" : "/locks/express%2Ftuna") + i;
                String id = Kit.newId();
                Kit.Answer answer = Kit.call(node.callers, isRead ? "GET" : "POST", "shop.example", path, id, 2_500,
                        isRead ? null : new byte[20]);
                String service = runBy.get(id);
                Kit.note("%s %s at %s: status %d, run by %s", isRead ? "GET" : "POST", path, node.name, answer.status(), service);
                if ("intake".equals(service)) wrong++;
                if ("sheets".equals(service)) right++;
            }
            Kit.note("run by sheets, as every configuration says: %d; run by intake: %d", right, wrong);
            if (right + wrong < 5) throw new IllegalStateException("too few requests were run");
            return wrong == 0;
        });
    }
}
