import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One part of a prompt crashes each model server as soon as it has begun to write an answer on it. The answers of the
 * servers have neither a length nor chunks.
 */
final class CrashingPrompt {
    private static final int SERVERS = 5;
    private static final int ENTRIES = 2;
    private static final int EVENTS = 5;
    private static final int HEAD_MS = 400;
    private static final int DOWN_MS = 3_000;
    private static final int CONTACT_MS = 3_000;
    private static final int LENGTH_MS = 35_000;
    private static final int CALM_MS = 6_000;
    private static final String CRASH_PART = "dead0001";
    private static final String CONFIG = """
        {"version":1,"routes":[
        {"name":"tag","host":"llm.example","prefix":"/tag/","route_type":"streaming","timeout_ms":4000,"slo_ms":990,
         "gap_slo_ms":300,"max_attempts":1,"priority":2,"service":"llm"}],
        "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_capacity":547188}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"crew","api_keys":["key1"]}]}
        """;

    private final long startedAt = System.nanoTime();
    private final List<Long> crashes = new ArrayList<>();

    private CrashingPrompt() {
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int status = 2;
        try {
            status = new CrashingPrompt().run(new File(arguments[0]), record, !"0".equals(System.getenv("TROUBLE")));
        } catch (IOException failed) {
            record.write("could not run: " + failed);
        }
        System.exit(status == 1 ? Record.BROKEN : status);
    }

    private int run(File root, Record record, boolean hasTrouble) throws Exception {
        Path folder = Files.createTempDirectory("crashing-prompt");
        Store store = new Store("127.0.0.1");
        Set<ServerProcess> servers = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < SERVERS; number++) startServer(store, record, servers);
        store.put("op", "config", CONFIG);
        List<Entry> entries = new ArrayList<>();
        int network = (int) (Math.random() * 250);
        for (int number = 1; number <= ENTRIES; number++) {
            Entry entry = new Entry(root, folder, "front-" + number, "127.73." + network + "." + number, "zaal",
                store.address(), List.of(), Settings.SMALL);
            entry.start();
            entries.add(entry);
        }
        Threads.sleep(4_000);
        List<Sound> sounds = java.util.Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        long from = elapsed();
        for (int number = 0; elapsed() - from < LENGTH_MS; number++) {
            // Sound requests share the other parts and the key with those that have the part that crashes servers.
            boolean isCrashing = hasTrouble && elapsed() - from > CALM_MS && number % 20 == 19;
            String id = (isCrashing ? "crashing-" : "sound-") + number;
            String prefix = "5c1e07a2:341," + (isCrashing ? CRASH_PART + ":90," : "") + "91bd3f0" + number % 3 + ":227,c"
                + Integer.toHexString(number) + ":40";
            Entry entry = entries.get(number % ENTRIES);
            long sentAt = elapsed();
            threads.add(Threads.start("stream", () -> {
                record.write("sends " + id + " to " + entry.name + ", " + prefix);
                Streams.Result result = Streams.request(entry, "/tag/1", id, prefix, 4_000, 3_960);
                record.write("answer to " + id + ": status " + result.status + ", " + result.events + " of " + EVENTS
                    + " events, " + result.end);
                if (!isCrashing) sounds.add(new Sound(sentAt, result.status == 200 && result.events > 0));
            }));
            Threads.sleep(50);
        }
        for (Thread thread : threads) thread.join(8_000);
        entries.forEach(Entry::kill);
        return judge(record, hasTrouble, sounds);
    }

    private void startServer(Store store, Record record, Set<ServerProcess> servers) throws IOException {
        ServerProcess[] started = new ServerProcess[1];
        started[0] = new ServerProcess(store, record, "127.0.0.1", "llm",
            List.of(Integer.toString(HEAD_MS), "0", Integer.toString(EVENTS), CRASH_PART), (id, line) -> {
                if (line.startsWith("crash ")) {
                    synchronized (this) {
                        crashes.add(elapsed());
                    }
                    Threads.start("restart", () -> {
                        Threads.sleep(DOWN_MS);
                        started[0].start();
                    });
                }
            });
        started[0].start();
        servers.add(started[0]);
    }

    private synchronized int judge(Record record, boolean hasTrouble, List<Sound> sounds) {
        record.write("crashes of servers " + crashes.size());
        if (hasTrouble && crashes.isEmpty()) return 2;
        // Without crashes, the second half of the run is compared with the first.
        long first = crashes.isEmpty() ? sounds.get(sounds.size() / 2).sentAt : crashes.get(0);
        long last = crashes.isEmpty() ? first : crashes.get(Math.min(4, crashes.size() - 1));
        List<Sound> before = sounds.stream().filter(it -> it.sentAt < first - 500).toList();
        List<Sound> after = sounds.stream().filter(it -> it.sentAt > last + 2 * CONTACT_MS).toList();
        double shareBefore = share(before);
        double shareAfter = share(after);
        record.write("sound requests before the first crash " + before.size() + ", begun at the first attempt "
            + Math.round(100 * shareBefore) + "%");
        record.write("sound requests later than 2 x contact_ms after the fifth or last crash " + after.size()
            + ", begun at the first attempt " + Math.round(100 * shareAfter) + "%");
        if (before.size() < 20 || after.size() < 20) return 2;
        boolean isBroken = shareAfter < shareBefore / 2;
        record.write(isBroken ? "LOST is broken" : "LOST holds");
        return isBroken ? 1 : 0;
    }

    private static double share(List<Sound> requests) {
        return requests.stream().filter(it -> it.hasBegun).count() / (double) Math.max(1, requests.size());
    }

    /** A sound request: when it was sent, and whether its answer began. */
    private record Sound(long sentAt, boolean hasBegun) {
    }

    private long elapsed() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }
}
