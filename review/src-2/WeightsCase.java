import java.util.List;

/** A version whose weights are larger than usual: it is acknowledged, and no node ever takes it. */
final class WeightsCase {
    private static String config(int version, boolean isAdded, String split) {
        String[][] rows = {
            {"r-read", "/read/", "idempotent", "vitrina", "1.2", "0.3", "2"},
            {"r-other", "/other/", "idempotent", "pedidos", "1.2", "0.3", "2"},
            {"r-new", "/new/", "idempotent", "vitrina", "1.2", "0.3", "2"},
        };
        String[][] used = isAdded ? rows : new String[][] {rows[0], rows[1]};
        String json = Kit.config(version, used, "vitrina", "pedidos");
        return json.replaceFirst("\"service\":\"vitrina\"", "\"traffic-split\":" + split);
    }

    private static String split(int vitrina, int pedidos) {
        return "[{\"service\":\"vitrina\",\"weight\":" + vitrina + "},{\"service\":\"pedidos\",\"weight\":" + pedidos + "}]";
    }

    public static void main(String[] arguments) {
        Kit.main(arguments, (folder, hasTrouble) -> {
            Kit.Store store = new Kit.Store();
            Kit.Node a = new Kit.Node(folder, "node-a", "zone-a", "vitrina", store.port);
            Kit.Node b = new Kit.Node(folder, "node-b", "zone-b", "pedidos", store.port);
            store.put("keyed.op", "config", config(1, false, split(90, 10)));
            a.start();
            b.start();
            Kit.Upstream vitrina = new Kit.Upstream("i-vitrina", "vitrina", a.target, a.announcements, 12, Kit.PLAIN);
            Kit.Upstream pedidos = new Kit.Upstream("i-pedidos", "pedidos", b.target, b.announcements, 12, Kit.PLAIN);
            vitrina.startBeats();
            pedidos.startBeats();
            a.awaitReady(20_000);
            b.awaitReady(20_000);
            for (Kit.Node node : List.of(a, b)) {
                Kit.awaitService(node, "/read/1");
                Kit.awaitService(node, "/other/1");
            }
            Kit.sleep(3_500);
            // The same change, with weights in hundredths of a percent or in millionths.
            String text = config(2, true, hasTrouble ? split(10_000, 990_000) : split(100, 9_900));
            store.put("keyed.op", "config", text);
            Kit.note("version 2 is acknowledged: %s", text);
            int missing = 0;
            int old = 0;
            for (int second = 0; second < 10; second++) {
                Kit.sleep(1_000);
                if (second < 3) continue;
                for (Kit.Node node : List.of(a, b)) {
                    String path = "/new/x";
                    Kit.Answer added = Kit.call(node.callers, "GET", "shop.example", path, Kit.newId(), 1_200, null);
                    if (added.status() == 404) missing++;
                    for (int i = 0; i < 5; i++) {
                        String id = Kit.newId();
                        Kit.call(node.callers, "GET", "shop.example", "/read/x", id, 1_200, null);
                        if (vitrina.runsOf(id) > 0) old++;
                    }
                    Kit.note("%s, %d s after the acknowledgement: /new/x gets %d", node.name, second + 1, added.status());
                }
            }
            Kit.note("of 14 requests on the added route, 404: %d; of 70 on the split route, run by vitrina (weight 1 of 100): %d",
                    missing, old);
            return missing == 0;
        });
    }
}
