import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of the deployed program, started with the command of the deploy file. */
final class Entry {
    final String name;
    final String host;
    final int port;
    final int readyPort;
    final String peers;
    private final File settings;
    private final File log;
    private final File root;
    private Process process;

    /**
     * @param host a loopback address that no other entry has, as the port of the metrics is fixed
     * @param values further values of the settings of a process, by the names of the template
     */
    Entry(File root, Path folder, String name, String host, String zone, String store, List<String> seeds,
        Map<String, String> values) throws IOException {
        this.root = root;
        this.name = name;
        this.host = host;
        port = freePort(host);
        readyPort = freePort(host);
        peers = host + ":" + freePort(host);
        settings = folder.resolve(name + ".json").toFile();
        log = folder.resolve(name + ".log").toFile();
        String seedText = String.join(",", seeds.stream().map(seed -> "\"" + seed + "\"").toList());
        String text = Files.readString(root.toPath().resolve("deploy/entry.yaml"))
            .replaceAll("\\{\\{#seed_addrs\\}\\}.*\\{\\{/seed_addrs\\}\\}", seedText)
            .replace("{{node_name}}", name)
            .replace("{{zone}}", zone)
            .replace("{{listen.front}}", host + ":" + port)
            .replace("{{listen.ready}}", host + ":" + readyPort)
            .replace("{{listen.control}}", peers)
            .replace("{{ip}}", host)
            .replace("{{platform.address}}", store);
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) throw new IOException("a value of the settings is missing: " + text);
        Files.writeString(settings.toPath(), text);
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return probe.getLocalPort();
        }
    }

    /** Starts the process and waits until it says that it is ready. */
    void start() throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.toPath().resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.set(command.size() - 1, settings.getPath());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        long end = System.nanoTime() + 30_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end) throw new IOException(name + " did not become ready");
            Threads.sleep(100);
        }
    }

    /** Whether the readiness check is answered with 200 within a second. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readyPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message head = Http.head(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException failed) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Sends a signal, such as TERM or STOP. */
    void signal(String signal) throws IOException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }

    void kill() {
        process.destroyForcibly();
    }

    File log() {
        return log;
    }
}
