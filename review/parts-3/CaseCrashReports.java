import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of prompts crashes servers, some seconds after open channels to the store went silent: do the entries stop it together? */
final class CaseCrashReports extends Case {
    private static final String POISON = "bad0bad0";
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Long> reached = new ConcurrentHashMap<>();
    private final AtomicInteger boots = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new CaseCrashReports(), arguments);
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", "{\"version\":1,\"routes\":[{\"name\":\"contract-qa\",\"host\":\"" + HOST
            + "\",\"prefix\":\"/qa/\",\"service\":\"advisor\",\"route_type\":\"streaming\",\"timeout_ms\":15000,"
            + "\"slo_ms\":2500,\"gap_slo_ms\":300,\"max_attempts\":1,\"priority\":1,\"session_affinity\":true}],"
            + "\"services\":[{\"name\":\"advisor\",\"max_conns\":220,\"health_path\":\"/health\","
            + "\"engine\":{\"slots\":48,\"kv_capacity\":576968}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"depot\",\"api_keys\":[\"key-depot\"]}]}");
        for (int i = 0; i < 5; i++) boot();
        startEntries(5, Entry.bounds());
        Thread.sleep(2_000);
        for (Entry entry : entries) Threads.start("sound", () -> {
            while (true) {
                Threads.start("request", () -> request(entry, "5c1e07a2:400,77aa01:120", false));
                Thread.sleep(200);
            }
        });
        Thread.sleep(1_500);
        if (trouble) store.silenceChannels();
        // It has been calm for more than contact_ms when the first of these requests comes.
        Thread.sleep(CONTACT_MS + 1_000);
        for (int i = 0; i < 16; i++) {
            Entry entry = entries.get(i % entries.size());
            Threads.start("request", () -> request(entry, "5c1e07a2:400," + POISON + ":60", true));
            Thread.sleep(900);
        }
        Thread.sleep(2_500);
        long[] crashes = reached.values().stream().mapToLong(Long::longValue).sorted().toArray();
        long fifth = crashes.length < 5 ? -1 : crashes[4] + 80;
        long late = reached.keySet().stream().filter(id -> fifth >= 0 && sentAt.get(id) > fifth + CONTACT_MS).count();
        record.say(crashes.length + " requests with the part reached servers, " + late + " of them were sent more than "
            + CONTACT_MS + " ms after the fifth crash; " + cut.get() + " of " + sound.get()
            + " sound requests were cut or failed");
        return late <= 3;
    }

    private void boot() throws Exception {
        Engine engine = new Engine("advisor-" + boots.incrementAndGet(), store, POISON, this::arrived);
        engine.beat(HEARTBEAT_MS);
    }

    private void arrived(Engine engine, String id, boolean crashes) {
        record.line("server " + engine.id + " begins " + id + (crashes ? " and crashes" : ""));
        if (!crashes) return;
        reached.put(id, Record.now());
        Threads.start("restart", () -> {
            Thread.sleep(2_500);
            boot();
        });
    }

    private void request(Entry entry, String sharedParts, boolean crashes) {
        String id = Client.newId();
        sentAt.put(id, Record.now());
        Client.Result result = Client.send(id, entry.frontPort, "POST", HOST, "/qa/1", "key-depot", 15_000, "q",
            "X-Model: m\r\nX-Token-Usage: 600,60\r\nX-Prompt-Prefix: " + sharedParts + "," + id.substring(0, 8) + ":80\r\n");
        record.line("client: " + (crashes ? "part " : "sound ") + id + " through " + entry.name + " -> " + result.status()
            + (result.status() == 200 ? "" : " " + result.body()));
        if (crashes) return;
        sound.incrementAndGet();
        if (result.status() != 200) cut.incrementAndGet();
    }
}
