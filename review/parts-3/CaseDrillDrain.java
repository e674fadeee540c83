import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A drill while a server leaves: does it get new requests again? */
final class CaseDrillDrain extends Case {
    private final Map<String, String> entryOf = new ConcurrentHashMap<>();
    private final Map<String, Long> acknowledgedAt = new ConcurrentHashMap<>();
    private final Map<String, Long> late = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new CaseDrillDrain(), arguments);
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Config.orders(1, "orders", List.of("key-depot"), List.of("orders")));
        for (int i = 1; i <= 4; i++) servers.add(new Server("orders-" + i, "orders", "nashua", store, i == 1 ? 60 : 90, this::arrived));
        Server leaving = servers.get(0);
        store.seen = (entry, table, key, text, ver) -> {
            if (table.equals("servers") && key.equals(leaving.id) && text != null) {
                boolean isDraining = text.contains("\"draining\"");
                if (isDraining) acknowledgedAt.putIfAbsent(entry, Record.now());
                record.line("store: " + entry + " reads " + key + (isDraining ? " draining" : " ready") + ", ver " + ver);
            }
        };
        for (Server server : servers) server.beat(HEARTBEAT_MS);
        startEntries(3, Entry.bounds());
        Thread.sleep(3_000);
        for (Entry entry : entries) Threads.start("client", () -> callWithOrders(entry));
        Thread.sleep(4_000);
        // From here on the leaving server writes at its heartbeats, counted from this report.
        leaving.restartBeat(HEARTBEAT_MS);
        long reportAt = Record.now();
        record.line(leaving.id + " reports draining, accepted");
        Thread.sleep(2_450);
        if (trouble) store.drill(300, 3_000, true);
        while (Record.now() < reportAt + 3_600) Thread.sleep(5);
        record.line(leaving.id + " ends");
        leaving.end();
        store.remove("servers", leaving.id);
        Thread.sleep(4_000);
        record.say(late.size() + " orders reached " + leaving.id + " more than " + DRAIN_MS
            + " ms after the entry that sent them had read that it leaves; " + lost.get() + " of them were lost with it");
        return late.isEmpty();
    }

    private void callWithOrders(Entry entry) throws InterruptedException {
        while (true) {
            String id = Client.newId();
            entryOf.put(id, entry.name);
            Threads.start("order", () -> {
                Client.Result result =
                    Client.send(id, entry.frontPort, "POST", HOST, "/order/1", "key-depot", 3_000, "order");
                record.line("client: " + id + " through " + entry.name + " -> " + result.status() + " " + result.body());
                if (late.containsKey(id) && result.status() != 200) lost.incrementAndGet();
            });
            Thread.sleep(60);
        }
    }

    private void arrived(Server server, Http request, boolean runs) {
        String id = request.header("X-Request-Id");
        String entry = entryOf.get(id);
        Long acknowledged = entry == null ? null : acknowledgedAt.get(entry);
        String note = "";
        if (server == servers.get(0) && runs && acknowledged != null) {
            long after = Record.now() - acknowledged;
            note = ", " + after + " ms after " + entry + " read that it leaves";
            if (after > DRAIN_MS) late.put(id, after);
        }
        record.line("server " + server.id + (runs ? " runs " : " turns away ") + id + note);
    }
}
