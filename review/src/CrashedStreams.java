import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams without length and chunks, while model servers crash one at a time, a quarter of them each time. */
final class CrashedStreams {
    private static final int SERVERS = 4;
    private static final int EVENTS = 12;
    private static final int FIRST_EVENT_MS = 1_200;
    private static final int DOWN_MS = 4_500;
    private static final int LENGTH_MS = 45_000;
    private static final String CONFIG = """
        {"version":1,"routes":[
        {"name":"plan","host":"llm.example","prefix":"/plan/","route_type":"streaming","timeout_ms":20000,"slo_ms":2700,
         "gap_slo_ms":300,"max_attempts":1,"priority":1,"service":"llm"},
        {"name":"letter","host":"llm.example","prefix":"/letter/","route_type":"streaming","resumable":true,
         "timeout_ms":20000,"slo_ms":2000,"gap_slo_ms":300,"max_attempts":2,"priority":0,"service":"llm"}],
        "services":[{"name":"llm","max_conns":370,"engine":{"slots":64,"kv_capacity":547188}}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"crew","api_keys":["key1"]}]}
        """;

    private CrashedStreams() {
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("crashed-streams");
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int status = 2;
        try {
            Store store = new Store("127.0.0.1");
            List<ServerProcess> servers = new ArrayList<>();
            for (int number = 0; number < SERVERS; number++) {
                ServerProcess server = new ServerProcess(store, record, "127.0.0.1", "llm",
                    List.of("0", Integer.toString(FIRST_EVENT_MS), Integer.toString(EVENTS)), (id, line) -> { });
                server.start();
                servers.add(server);
            }
            store.put("op", "config", CONFIG);
            Entry entry = new Entry(new File(arguments[0]), folder, "front-1",
                "127.72." + (int) (Math.random() * 250) + ".1", "zaal", store.address(), List.of(), Settings.SMALL);
            entry.start();
            Threads.sleep(4_000);
            status = play(record, entry, servers, hasTrouble);
            entry.kill();
        } catch (IOException failed) {
            record.write("could not run: " + failed);
        }
        System.exit(status == 1 ? Record.BROKEN : status);
    }

    private static int play(Record record, Entry entry, List<ServerProcess> servers, boolean hasTrouble)
        throws Exception {
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger empty = new AtomicInteger();
        AtomicInteger shortened = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        long startedAt = System.nanoTime();
        long nextCrash = 5_000;
        int crashes = 0;
        for (int number = 0; elapsed(startedAt) < LENGTH_MS; number++) {
            if (hasTrouble && elapsed(startedAt) >= nextCrash && nextCrash < LENGTH_MS - 8_000) {
                ServerProcess server = servers.get(crashes++ % servers.size());
                server.crash();
                Threads.start("restart", () -> {
                    Threads.sleep(DOWN_MS);
                    server.start();
                });
                nextCrash += 8_000;
            }
            String id = (number % 2 == 0 ? "plan" : "letter") + "-" + number;
            String path = number % 2 == 0 ? "/plan/1" : "/letter/1";
            threads.add(Threads.start("stream", () -> {
                record.write("sends " + id);
                Streams.Result result = Streams.request(entry, path, id, "5c1e07a2:512,a" + id.hashCode() + ":300", 20_000,
                    10_800);
                record.write("answer to " + id + ": status " + result.status + ", " + result.events + " of " + EVENTS
                    + " events, " + result.end);
                if (!result.isComplete) {
                    others.incrementAndGet();
                } else if (result.events == EVENTS) {
                    whole.incrementAndGet();
                } else {
                    (result.events == 0 ? empty : shortened).incrementAndGet();
                }
            }));
            Threads.sleep(125);
        }
        for (Thread thread : threads) thread.join(22_000);
        record.write("streams whole " + whole + ", refused or seen as broken off " + others + ", ended as complete without "
            + "any event " + empty + ", ended as complete with some of the events " + shortened);
        if (whole.get() < 50) return 2;
        boolean isBroken = empty.get() > 0;
        record.write(isBroken ? "ORDER is broken: streams ended as complete before their last event" : "ORDER holds");
        return isBroken ? 1 : 0;
    }

    private static long elapsed(long startedAt) {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }
}
