import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Prompts have many shared parts, such as documents. One part crashes each server that begins to write an answer on it.
 *
 * Arguments: folder for the record, folder for temporary files, 1 with the disruption or 0 without it, and optionally
 * the number of shared parts of a prompt, and "dark" for crashes that take the machines of servers with them.
 */
final class DeadlyPart {
    private static final int SERVERS = 8;
    private static final int DOCUMENTS = 300;
    private static final long SOUND_INTERVAL_MS = 100;
    private static final long DEADLY_INTERVAL_MS = 1500;
    private static final long DEADLY_FOR_MS = 40_000;
    private static final long CONTACT_MS = 3000;
    private static final int ALLOWED = 3;

    private static final AtomicInteger CRASHES = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger NOT_SERVED = new AtomicInteger();
    private static volatile long fifthCrashAt = Long.MAX_VALUE / 2;
    private static int sharedParts = 70;

    private DeadlyPart() {}

    public static void main(String[] arguments) throws Exception {
        Recorder.open(Path.of(arguments[0], "record.txt"));
        if (arguments.length > 3) sharedParts = Integer.parseInt(arguments[3]);
        ModelServer.goesDark = arguments.length > 4 && arguments[4].equals("dark");
        int status = 2;
        try {
            status = play(Path.of(arguments[1]), arguments[2].equals("1"));
        } finally {
            Entry.endAll();
        }
        System.exit(status);
    }

    private static final ModelServer.Listener LISTENER = new ModelServer.Listener() {
        @Override
        public void reached(String requestId, boolean isDeadly) {
            if (!isDeadly || Recorder.now() <= fifthCrashAt + CONTACT_MS) return;
            Recorder.write("%s is number %d that reaches a server %d ms after the fifth crash", requestId,
                LATE.incrementAndGet(), Recorder.now() - fifthCrashAt);
        }

        @Override
        public void crashed() {
            if (CRASHES.incrementAndGet() == 5) fifthCrashAt = Recorder.now();
        }
    };

    private static int play(Path folder, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", """
            {"version":3,"routes":[{"name":"plan","host":"plan.example","prefix":"/plan/","route_type":"streaming",
            "resumable":true,"session_affinity":true,"timeout_ms":15000,"slo_ms":1400,"gap_slo_ms":300,"max_attempts":2,
            "priority":0,"service":"advisor"}],
            "services":[{"name":"advisor","max_conns":220,"engine":{"slots":48,"kv_capacity":576968}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"yard","api_keys":["key-of-yard"]}]}""");
        for (int i = 0; i < SERVERS; i++) new ModelServer(store, "advisor", i % 2 == 0 ? "a" : "b", "i-" + i, LISTENER).start();
        int firstControl = Entry.freePort();
        int secondControl = Entry.freePort();
        List<Integer> seeds = List.of(firstControl, secondControl);
        List<Entry> entries = List.of(
            new Entry("front-a-1", "a", store, folder, seeds, firstControl),
            new Entry("front-b-1", "b", store, folder, seeds, secondControl));
        for (Entry entry : entries) entry.start();
        for (Entry entry : entries) if (!entry.awaitReady()) return 2;
        Recorder.sleep(4000);
        Store.daemon("sound requests", () -> {
            for (int n = 0; ; n++) {
                int number = n;
                Store.daemon("client " + n, () -> request(entries, number, false));
                Recorder.sleep(SOUND_INTERVAL_MS);
            }
        });
        Recorder.sleep(6000);
        long end = Recorder.now() + DEADLY_FOR_MS;
        for (int n = 0; Recorder.now() < end; n++) {
            int number = n;
            if (hasTrouble) Store.daemon("deadly " + n, () -> request(entries, number, true));
            Recorder.sleep(DEADLY_INTERVAL_MS);
        }
        Recorder.sleep(3000);
        Recorder.write("sound requests served %d, not served %d; crashes %d; requests with the part that reached servers later "
            + "than %d ms after the fifth crash: %d", SERVED.get(), NOT_SERVED.get(), CRASHES.get(), CONTACT_MS, LATE.get());
        if (SERVED.get() < 100) return 2;
        return LATE.get() > ALLOWED ? 1 : 0;
    }

    /** The parts of a prompt: a system prompt, documents, the file of the user, and the part of the request itself. */
    private static String parts(int number, boolean isDeadly) {
        List<String> parts = new ArrayList<>();
        parts.add("5c1e07a2:512");
        for (int i = 0; i < sharedParts - 2; i++) {
            parts.add(Integer.toHexString(0x100000 + (number * 7 + i) % DOCUMENTS) + ":60");
        }
        parts.add(isDeadly ? ModelServer.DEADLY_PART + ":400" : Integer.toHexString(0x700000 + number % 40) + ":400");
        parts.add(Integer.toHexString((isDeadly ? 0xa00000 : 0x900000) + number) + ":300");
        return String.join(",", parts);
    }

    private static void request(List<Entry> entries, int number, boolean isDeadly) {
        String id = (isDeadly ? "d" : "q") + number;
        Entry entry = entries.get(number % entries.size());
        Http.Message answer = Caller.call(entry.front, "POST", "/plan/x", Http.headers("Host", "plan.example",
            "X-Request-Id", id, "X-Deadline-Ms", "15000", "X-Api-Key", "key-of-yard", "X-Model", "m", "X-Token-Usage",
            "5900,120", "X-Prompt-Prefix", parts(number, isDeadly)), new byte[2000], 15_000);
        boolean isServed = answer != null && answer.status() == 200
            && answer.text().split("\n\n").length == ModelServer.EVENTS;
        if (!isDeadly) (isServed ? SERVED : NOT_SERVED).incrementAndGet();
        Recorder.write("client gets %s for %s from %s%s", answer == null ? "a broken channel" : answer.status(), id,
            entry.name, answer != null && answer.status() >= 500 ? ": " + answer.text().trim() : "");
    }
}
