import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Each of four model servers crashes once, one after the other; then all entries are killed and start again. The answers
 * of the servers are short streams with neither a length nor chunks.
 */
final class CrashesAndRecovery {
    private static final int SERVERS = 4;
    private static final int ENTRIES = 2;
    private static final int EVENTS = 5;
    private static final int HEAD_MS = 600;
    private static final int SERVER_DOWN_MS = 4_500;
    private static final int CRASH_GAP_MS = 5_000;
    private static final int ENTRY_DOWN_MS = 1_000;
    private static final int RECOVERY_MS = 12_000;
    private static final String CONFIG = """
        {"version":1,"routes":[
        {"name":"tag","host":"llm.example","prefix":"/tag/","route_type":"streaming","timeout_ms":4000,"slo_ms":990,
         "gap_slo_ms":300,"max_attempts":1,"priority":2,"service":"llm"}],
        "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_capacity":547188}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"crew","api_keys":["key1"]}]}
        """;

    private final long startedAt = System.nanoTime();
    private final List<Sent> requests = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean isOver;

    private CrashesAndRecovery() {
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int status = 2;
        try {
            status = new CrashesAndRecovery().run(new File(arguments[0]), record, !"0".equals(System.getenv("TROUBLE")));
        } catch (IOException failed) {
            record.write("could not run: " + failed);
        }
        System.exit(status == 1 ? Record.BROKEN : status);
    }

    private int run(File root, Record record, boolean hasTrouble) throws Exception {
        Path folder = Files.createTempDirectory("crashes-and-recovery");
        Store store = new Store("127.0.0.1");
        List<ServerProcess> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            ServerProcess server = new ServerProcess(store, record, "127.0.0.1", "llm",
                List.of(Integer.toString(HEAD_MS), "0", Integer.toString(EVENTS)), (id, line) -> { });
            server.start();
            servers.add(server);
        }
        store.put("op", "config", CONFIG);
        List<Entry> entries = new ArrayList<>();
        int network = (int) (Math.random() * 250);
        for (int number = 1; number <= ENTRIES; number++) {
            Entry entry = new Entry(root, folder, "front-" + number, "127.75." + network + "." + number, "zaal",
                store.address(), List.of(), Settings.SMALL);
            entry.start();
            entries.add(entry);
        }
        Threads.sleep(4_000);
        Threads.start("traffic", () -> sendAll(record, entries));
        Threads.sleep(5_000);
        for (ServerProcess server : servers) {
            if (hasTrouble) {
                server.crash();
                Threads.start("restart", () -> {
                    Threads.sleep(SERVER_DOWN_MS);
                    server.start();
                });
            }
            Threads.sleep(CRASH_GAP_MS);
        }
        long faultAt = elapsed();
        if (hasTrouble) {
            record.write("final fault: all entries are killed");
            entries.forEach(Entry::kill);
            Threads.sleep(ENTRY_DOWN_MS);
            for (Entry entry : entries) entry.start();
        }
        long backAt = elapsed();
        record.write("all entries are back");
        Threads.sleep(RECOVERY_MS + 8_000);
        isOver = true;
        Threads.sleep(5_000);
        entries.forEach(Entry::kill);
        return judge(record, faultAt, backAt);
    }

    private void sendAll(Record record, List<Entry> entries) {
        for (int number = 0; !isOver; number++) {
            String id = "tag-" + number;
            String prefix = "5c1e07a2:341,91bd3f0" + number % 3 + ":227,c" + Integer.toHexString(number) + ":40";
            Entry entry = entries.get(number % ENTRIES);
            long sentAt = elapsed();
            Threads.start("stream", () -> {
                record.write("sends " + id + " to " + entry.name);
                Streams.Result result = Streams.request(entry, "/tag/1", id, prefix, 4_000, 3_960);
                record.write("answer to " + id + ": status " + result.status + ", " + result.events + " of " + EVENTS
                    + " events, " + result.end);
                requests.add(new Sent(sentAt, result.isComplete && result.events == EVENTS));
            });
            Threads.sleep(50);
        }
    }

    private int judge(Record record, long faultAt, long backAt) {
        List<Sent> before = requests.stream().filter(it -> it.at < faultAt).toList();
        List<Sent> after = requests.stream().filter(it -> it.at > backAt + RECOVERY_MS).toList();
        double shareBefore = share(before);
        double shareAfter = share(after);
        record.write("sent before the final fault " + before.size() + ", served " + Math.round(100 * shareBefore) + "%");
        record.write("sent later than recovery_s after the entries are back " + after.size() + ", served "
            + Math.round(100 * shareAfter) + "%");
        if (before.size() < 100 || after.size() < 50) return 2;
        boolean isBroken = shareBefore >= 0.25 && shareAfter < 0.25;
        record.write(isBroken ? "RECOVER is broken" : "RECOVER holds");
        return isBroken ? 1 : 0;
    }

    private static double share(List<Sent> sent) {
        return sent.stream().filter(it -> it.isServed).count() / (double) Math.max(1, sent.size());
    }

    private long elapsed() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** A request: when it was sent, and whether it got its whole answer. */
    private record Sent(long at, boolean isServed) {
    }
}
