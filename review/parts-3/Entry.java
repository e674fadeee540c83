import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The deployed program as a separate process, run by the line of the deploy file with settings from its template. */
final class Entry {
    private static final Path REPOSITORY = Path.of("").toAbsolutePath();
    final String name;
    final int frontPort;
    private final int readyPort;
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(String name, String zone, int storePort, List<Entry> seeds, Map<String, String> bounds, Path folder)
        throws IOException {
        this.name = name;
        frontPort = freePort();
        readyPort = freePort();
        int controlPort = freePort();
        int metricsPort = freePort();
        settings = folder.resolve(name + ".yaml");
        log = folder.resolve(name + ".log");
        controlAddress = "127.0.0.1:" + controlPort;
        List<String> seedAddresses = new ArrayList<>();
        for (Entry seed : seeds) seedAddresses.add('"' + seed.controlAddress + '"');
        String text = Files.readString(REPOSITORY.resolve("deploy/entry.yaml"));
        text = text.replace("{{ip}}:9464", "127.0.0.1:" + metricsPort)
            .replace("{{#seed_addrs}}\"{{.}}\"{{,}}{{/seed_addrs}}", String.join(",", seedAddresses))
            .replace("{{node_name}}", name)
            .replace("{{zone}}", zone)
            .replace("{{listen.front}}", "127.0.0.1:" + frontPort)
            .replace("{{listen.ready}}", "127.0.0.1:" + readyPort)
            .replace("{{listen.control}}", controlAddress)
            .replace("{{platform.address}}", "127.0.0.1:" + storePort)
            .replace("{{limits.cpu_share}}", "0.57");
        for (Map.Entry<String, String> bound : bounds.entrySet()) {
            text = text.replace("{{bounds." + bound.getKey() + "}}", bound.getValue());
        }
        Matcher rest = Pattern.compile("\\{\\{.*?}}").matcher(text);
        if (rest.find()) throw new IOException("the template has a field that is not known here: " + rest.group());
        Files.writeString(settings, text);
    }

    final String controlAddress;

    /** The bounds of the site ghgc-dispatch that the template uses. */
    static Map<String, String> bounds() {
        return new java.util.HashMap<>(Map.of("grace_s", "8", "config_apply_ms", "2000", "drain_ms", "2000",
            "retry_budget_ratio", "0.2", "retry_slack", "58", "budget_window_s", "10"));
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(REPOSITORY.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("no line `run` in the deploy file");
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        words.replaceAll(word -> word.equals("/etc/bilberryhead/local.toml") ? settings.toString() : word);
        process = new ProcessBuilder(words).directory(REPOSITORY.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    void awaitReady() throws InterruptedException, IOException {
        long end = Record.now() + 30_000;
        while (!isReady()) {
            if (Record.now() > end) throw new IOException(name + " is not ready");
            Thread.sleep(100);
        }
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start).contains(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Path log() {
        return log;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();
}
