import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A small deployment of real nodes with stand-ins for the store, the upstreams and the clients. */
final class Deployment implements AutoCloseable {
    /** Ports of one machine, and its processes. */
    static final class Machine {
        String name;
        String zone;
        String service;
        int callers;
        int peers;
        int control;
        int operator;
        int ready;
        int announcements;
        int upstreamPort;
        Path settings;
        Process node;
        Process upstream;
        final ConcurrentLinkedQueue<String> upstreamLines = new ConcurrentLinkedQueue<>();
    }

    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Machine> machines = new ArrayList<>();
    final ConcurrentLinkedQueue<String> storeLines = new ConcurrentLinkedQueue<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> reserved = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path temp;
    private final Path root = Path.of(System.getProperty("review.root"));
    private final String classes = System.getProperty("java.class.path");
    private int storePort;

    Deployment(Path record) throws IOException {
        this.record = new PrintWriter(Files.newBufferedWriter(record));
        temp = Files.createTempDirectory("review");
        log("trouble=" + hasTrouble);
        // Also ends the processes if this one is ended by the time limit of the script.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    synchronized void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        record.flush();
    }

    /** Reserves free ports for all processes, so that no two of them get the same one. */
    private int port() throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        reserved.add(socket);
        return socket.getLocalPort();
    }

    Machine add(String name, String zone, String service) throws IOException {
        Machine machine = new Machine();
        machine.name = name;
        machine.zone = zone;
        machine.service = service;
        machine.callers = port();
        machine.peers = port();
        machine.control = port();
        machine.operator = port();
        machine.ready = port();
        machine.announcements = port();
        machine.upstreamPort = port();
        machines.add(machine);
        return machine;
    }

    /** Starts the store and writes [config], then starts a node on each machine and an upstream with [options]. */
    void start(String config, Map<String, List<String>> options) throws Exception {
        storePort = port();
        for (ServerSocket socket : reserved) socket.close();
        launch("store", storeLines, java("Store", String.valueOf(storePort)));
        await("store", () -> storeLines.contains("store ready"), 10);
        append("config", config);
        for (Machine machine : machines) {
            machine.settings = temp.resolve(machine.name + ".json");
            Files.writeString(machine.settings, settings(machine));
            startUpstream(machine, options.getOrDefault(machine.service, List.of()));
        }
        for (Machine machine : machines) startNode(machine);
        for (Machine machine : machines) await("ready " + machine.name, () -> isReady(machine), 30);
        // Time for all nodes to know all targets.
        Thread.sleep(3_000);
        log("all ready");
    }

    void startNode(Machine machine) throws IOException {
        List<String> command = new ArrayList<>();
        for (String word : runCommand().split(" ")) {
            command.add(word.equals("/etc/baobabhollow/settings.conf") ? machine.settings.toString() : word);
        }
        machine.node = launch("node " + machine.name, null, command);
    }

    void startUpstream(Machine machine, List<String> options) throws IOException {
        List<String> arguments = new ArrayList<>(List.of(
            "port=" + machine.upstreamPort, "id=i-" + machine.name + "-" + System.nanoTime() % 1_000_000,
            "service=" + machine.service, "control=" + machine.announcements));
        arguments.addAll(options);
        machine.upstream = launch("upstream " + machine.name, machine.upstreamLines,
            java("Upstream", arguments.toArray(String[]::new)));
    }

    void command(Machine machine, String command) throws IOException {
        log("command to upstream " + machine.name + ": " + command);
        machine.upstream.getOutputStream().write((command + "\n").getBytes());
        machine.upstream.getOutputStream().flush();
    }

    void kill(String what, Process process) throws InterruptedException {
        log("SIGKILL " + what + " pid=" + process.pid());
        process.destroyForcibly();
        process.waitFor();
    }

    /** The run command of the deploy file. */
    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(7, line.length() - 1);
        }
        throw new IOException("no run command in deploy/system.toml");
    }

    /** Renders deploy/node.json as the platform does for a machine of a small deployment. */
    private String settings(Machine machine) throws IOException {
        Map<String, String> fields = new HashMap<>();
        fields.put("node-id", machine.name);
        fields.put("zone", machine.zone);
        fields.put("platform.address", "127.0.0.1:" + storePort);
        fields.put("listen.outbound", "127.0.0.1:" + machine.callers);
        fields.put("listen.inbound", "127.0.0.1:" + machine.peers);
        fields.put("{ip}:port-range.0", "127.0.0.1:" + machine.control);
        fields.put("{ip}:port-range.1", "127.0.0.1:" + machine.operator);
        fields.put("listen.ready", "127.0.0.1:" + machine.ready);
        fields.put("app-addr", "127.0.0.1:" + machine.upstreamPort);
        fields.put("service", machine.service);
        fields.put("listen.control", "127.0.0.1:" + machine.announcements);
        fields.put("heartbeat-s", "0.87");
        fields.put("bounds.retry-budget-ratio", "0.2");
        fields.put("bounds.retry-budget-slack", "62");
        fields.put("bounds.grace-s", "6");
        String text = Files.readString(root.resolve("deploy/node.json"))
            .replace("{{ip}}:{{port-range.0}}", fields.get("{ip}:port-range.0"))
            .replace("{{ip}}:{{port-range.1}}", fields.get("{ip}:port-range.1"));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        return text;
    }

    void append(String key, String value) throws IOException {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(1 + keyBytes.length + valueBytes.length);
        out.writeByte(keyBytes.length);
        out.write(keyBytes);
        out.write(valueBytes);
        try (Socket socket = new Socket("127.0.0.1", storePort)) {
            socket.getOutputStream().write(("POST /v1/log-append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: store\r\n"
                + "x-standin-writer: operator\r\nConnection: close\r\nContent-Length: " + bytes.size() + "\r\n\r\n")
                .getBytes());
            socket.getOutputStream().write(bytes.toByteArray());
            Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            log("operator wrote op/" + key + " status=" + head.status());
        }
    }

    boolean isReady(Machine machine) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", machine.ready), 500);
            socket.setSoTimeout(1_000);
            String request = "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes());
            Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    void await(String what, Condition condition, int seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.holds()) {
            if (System.nanoTime() > end) throw new CannotRun("not within " + seconds + " s: " + what);
            Thread.sleep(20);
        }
    }

    private List<String> java(String main, String... arguments) {
        List<String> command = new ArrayList<>(List.of("java", "-Xmx256m", "-cp", classes, main));
        command.addAll(List.of(arguments));
        return command;
    }

    private Process launch(String name, ConcurrentLinkedQueue<String> lines, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true);
        if (lines == null) {
            File log = temp.resolve(name.replace(' ', '-') + ".log").toFile();
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        }
        Process process = builder.start();
        processes.add(process);
        log("started " + name + " pid=" + process.pid());
        if (lines != null) {
            Thread reader = new Thread(() -> copyLines(name, process.getInputStream(), lines));
            reader.setDaemon(true);
            reader.start();
        }
        return process;
    }

    private void copyLines(String name, InputStream in, ConcurrentLinkedQueue<String> lines) {
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(in))) {
            String line;
            while ((line = reader.readLine()) != null) {
                log(name + ": " + line);
                lines.add(line);
            }
        } catch (IOException e) {
            log(name + ": output ended " + e);
        }
    }

    /** Appends the last [count] lines of a node's log that contain [text] to the record. */
    void showNodeLog(Machine machine, String text, int count) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(temp.resolve("node-" + machine.name + ".log"))) {
            if (line.contains(text)) lines.add(line);
        }
        for (String line : lines.subList(Math.max(0, lines.size() - count), lines.size())) {
            log("log of node " + machine.name + ": " + line);
        }
    }

    /** Client connection to the callers' port of [machine]. */
    static Socket connect(Machine machine, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", machine.callers), 1_000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static void sendHead(OutputStream out, String method, String path, String id, long deadlineMillis, long length)
        throws IOException {
        out.write((method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nBaobabhollow-Attempt-Id: " + id
            + "\r\nBaobabhollow-Deadline-Ms: " + deadlineMillis + "\r\n"
            + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n").getBytes());
        out.flush();
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) process.waitFor();
        log("all processes ended");
        record.close();
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    /** Runs a case and ends the process with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Case body) {
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(args[0]))) {
            try {
                boolean isBroken = body.isBroken(deployment);
                deployment.log(isBroken ? "RULE BROKEN" : "rule held");
                code = isBroken ? 1 : 0;
            } catch (Exception e) {
                deployment.log("cannot run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    interface Case {
        boolean isBroken(Deployment deployment) throws Exception;
    }
}
