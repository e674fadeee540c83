import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the deployed program, started with the line `run` and the template of the deploy file. */
final class Entry {
    private static final List<Process> STARTED = new ArrayList<>();

    private static final Set<Integer> TAKEN = new HashSet<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll));
    }

    final String name;
    final int front;
    final int ready;
    final int control;
    final int metrics;
    private final Path settings;
    private final Path output;
    Process process;

    Entry(String name, String zone, Store store, Path folder, List<Integer> seeds, int control)
        throws IOException {
        this.name = name;
        this.front = freePort();
        this.ready = freePort();
        this.metrics = freePort();
        this.control = control;
        this.settings = folder.resolve(name + ".settings");
        this.output = folder.resolve(name + ".log");
        String text = Files.readString(Path.of("deploy/entry.yaml"));
        List<String> quoted = seeds.stream().map(port -> "\"127.0.0.1:" + port + "\"").toList();
        text = text.replaceAll("\\{\\{#seed_addrs}}.*\\{\\{/seed_addrs}}", Matcher.quoteReplacement(String.join(",", quoted)));
        text = text.replace("{{ip}}:9464", "127.0.0.1:" + metrics);
        String[][] fields = {
            {"node_name", name}, {"zone", zone}, {"listen.front", "127.0.0.1:" + front},
            {"listen.ready", "127.0.0.1:" + ready}, {"listen.control", "127.0.0.1:" + control},
            {"platform.address", store.address()}, {"limits.cpu_share", "0.57"}, {"bounds.grace_s", "8"},
            {"bounds.config_apply_ms", "2000"}, {"bounds.drain_ms", "2000"}, {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_slack", "58"}, {"bounds.budget_window_s", "10"},
        };
        for (String[] field : fields) text = text.replace("{{" + field[0] + "}}", field[1]);
        if (text.contains("{{")) throw new IOException("the template has an unknown field: " + text);
        Files.writeString(settings, text);
    }

    /** Returns a free port outside the range from which systems take the ports of outgoing channels. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("no line `run` in the deploy file");
        List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        words.set(words.indexOf("--settings") + 1, settings.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("BILBERRYHEAD_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        Recorder.write("%s starts", name);
    }

    /** Waits until the entry says that it is ready; returns false after 40 s. */
    boolean awaitReady() {
        long end = Recorder.now() + 40_000;
        while (Recorder.now() < end) {
            if (isReady()) return true;
            Recorder.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
            socket.setSoTimeout(1000);
            Http.write(socket.getOutputStream(), "GET /v1/ready HTTP/1.1", Http.headers("Host", "x"), null);
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends all processes that were started. */
    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }
}
