import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.List;
import java.util.function.BiConsumer;

/** A {@link StreamServer} and its entry in the store, as the server itself would write it. */
final class ServerProcess {
    private static final int HEARTBEAT_MS = 1_200;

    private final Store store;
    private final Record record;
    private final String service;
    private final String host;
    private final int port;
    private final List<String> options;
    private final BiConsumer<String, String> onLine;
    private volatile Process process;
    private int boots;

    /** @param onLine called with the id of the server and a line that it wrote */
    ServerProcess(Store store, Record record, String host, String service, List<String> options,
        BiConsumer<String, String> onLine) throws IOException {
        this.store = store;
        this.record = record;
        this.host = host;
        this.service = service;
        this.options = options;
        this.onLine = onLine;
        port = Entry.freePort(host);
    }

    /** Starts a boot with a new id; its entry is written once it listens, and removed when it has been silent. */
    void start() throws IOException {
        String id = "i-" + Integer.toHexString(port) + "-" + ++boots;
        List<String> command = new java.util.ArrayList<>(List.of(
            new File(System.getProperty("java.home"), "bin/java").getPath(), "-Xmx64m", "-XX:TieredStopAtLevel=1",
            "-cp", System.getProperty("java.class.path"), "StreamServer", host, Integer.toString(port), id));
        command.addAll(options);
        Process started = new ProcessBuilder(command).redirectErrorStream(true).start();
        process = started;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        long born = System.currentTimeMillis();
        BufferedReader lines = new BufferedReader(new InputStreamReader(started.getInputStream()));
        if (!"listening".equals(lines.readLine())) throw new IOException("the server did not start");
        record.write("server " + id + " listens at " + host + ":" + port);
        Threads.start("lines", () -> {
            String line;
            while ((line = lines.readLine()) != null) {
                record.write("server " + id + ": " + line);
                onLine.accept(id, line);
            }
        });
        Threads.start("heartbeat", () -> {
            for (int sequence = 1; started.isAlive(); sequence++) {
                store.put("servers", id, "{\"service\":" + Json.quote(service) + ",\"address\":\"" + host + ":" + port
                    + "\",\"zone\":\"zaal\",\"version\":1,\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,"
                    + "\"sequence\":" + sequence + ",\"born\":" + born + "}");
                started.waitFor(HEARTBEAT_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
            }
            Threads.sleep(3 * HEARTBEAT_MS);
            store.put("servers", id, null);
        });
    }

    /** Kills the process, as a crash does. */
    void crash() {
        record.write("server at " + host + ":" + port + " crashes");
        process.destroyForcibly();
    }

    boolean isAlive() {
        return process.isAlive();
    }
}
