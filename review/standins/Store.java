import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in for the platform's store: keyed topics with one partition, conditional appends and long polls. */
public final class Store {
    private record Item(long offset, String key, byte[] value, byte[] raw) {}

    private static final class Topic {
        final List<Item> items = new ArrayList<>();
        final Map<String, Item> newest = new LinkedHashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();

    public static void main(String[] args) throws Exception {
        Store store = new Store();
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", Integer.parseInt(args[0])), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", store::handle);
        server.start();
        System.out.println("store ready");
    }

    private void handle(HttpExchange exchange) {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-append" -> append(exchange, query, body);
                case "/v1/log-read" -> read(exchange, query);
                case "/v1/log-newest" -> newest(exchange, query);
                default -> respond(exchange, 404, "{}".getBytes());
            }
        } catch (Exception e) {
            System.out.println("store error " + e);
        }
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws Exception {
        String topicName = query.get("topic");
        boolean isOperator = "operator".equals(exchange.getRequestHeaders().getFirst("x-standin-writer"));
        if (!isOperator && (topicName.equals("keyed.op") || topicName.equals("keyed.servers"))) {
            respond(exchange, 403, "{}".getBytes());
            return;
        }
        long offset;
        long end;
        synchronized (topics) {
            Topic topic = topics.computeIfAbsent(topicName, name -> new Topic());
            String revision = query.get("store-revision");
            if (revision != null && Long.parseLong(revision) != topic.items.size()) {
                respond(exchange, 412, ("{\"end\":" + topic.items.size() + "}").getBytes());
                return;
            }
            offset = topic.items.size();
            ByteBuffer buffer = ByteBuffer.wrap(body);
            while (buffer.hasRemaining()) {
                byte[] raw = new byte[buffer.getInt()];
                buffer.get(raw);
                int keyLength = raw[0] & 0xff;
                String key = new String(raw, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(raw, 1 + keyLength, raw.length);
                Item item = new Item(topic.items.size(), key, value, raw);
                topic.items.add(item);
                topic.newest.put(key, item);
                if (topicName.equals("keyed.status")) System.out.println("status " + key + " " + new String(value));
            }
            end = topic.items.size();
            topics.notifyAll();
        }
        respond(exchange, 200, ("{\"offset\":" + offset + ",\"end\":" + end + "}").getBytes());
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws Exception {
        long from = Long.parseLong(query.get("from"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait-ms", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (topics) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), name -> new Topic());
            while (topic.items.size() <= from && System.currentTimeMillis() < until) {
                topics.wait(Math.max(1, until - System.currentTimeMillis()));
            }
            out.writeLong(topic.items.size());
            out.writeLong(0);
            int limit = Integer.parseInt(query.getOrDefault("max-kb", "1024")) * 1024;
            for (long i = from; i < topic.items.size() && bytes.size() < limit; i++) {
                byte[] raw = topic.items.get((int) i).raw();
                out.writeInt(raw.length);
                out.write(raw);
            }
        }
        respond(exchange, 200, bytes.toByteArray());
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws Exception {
        StringBuilder json = new StringBuilder("{\"items\":[");
        synchronized (topics) {
            Topic topic = topics.computeIfAbsent(query.get("topic"), name -> new Topic());
            String separator = "";
            for (Item item : topic.newest.values()) {
                json.append(separator).append("{\"key\":\"").append(item.key()).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(item.value())).append("\",\"offset\":")
                    .append(item.offset()).append('}');
                separator = ",";
            }
            json.append("],\"more\":false,\"end\":").append(topic.items.size()).append('}');
        }
        respond(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws Exception {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        if (text == null) return result;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            String value = URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
            result.put(part.substring(0, equals), value);
        }
        return result;
    }
}
