import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A drill while two servers leave in a release: do they get new requests again? */
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
        for (int i = 1; i <= 6; i++) {
            servers.add(new Server("orders-" + i, "orders", "nashua", store, i <= 2 ? 45 : 90, this::arrived));
        }
        List<Server> leaving = servers.subList(0, 2);
        store.seen = (entry, table, key, text, ver) -> {
            if (table.equals("servers") && text != null && leaving.stream().anyMatch(server -> server.id.equals(key))) {
                boolean isDraining = text.contains("\"draining\"");
                if (isDraining) acknowledgedAt.putIfAbsent(entry + key, Record.now());
                record.line("store: " + entry + " reads " + key + (isDraining ? " draining" : " ready") + ", ver " + ver);
            }
        };
        for (Server server : servers) server.beat(HEARTBEAT_MS);
        startEntries(5, Entry.bounds());
        Thread.sleep(2_000);
        for (Entry entry : entries) Threads.start("client", () -> callWithOrders(entry));
        Thread.sleep(12_000);
        // One step of a release: two new servers start, two old ones leave. Their heartbeats count from their reports.
        for (int i = 7; i <= 8; i++) {
            new Server("orders-" + i, "orders", "nashua", store, 90, this::arrived).beat(HEARTBEAT_MS);
        }
        Thread.sleep(300);
        for (Server server : leaving) {
            server.restartBeat(HEARTBEAT_MS);
            record.line(server.id + " reports draining, accepted");
        }
        long reportAt = Record.now();
        Thread.sleep(2_450);
        if (trouble) store.drill(300, 3_000, true);
        while (Record.now() < reportAt + 3_650) Thread.sleep(5);
        for (Server server : leaving) {
            record.line(server.id + " ends");
            server.end();
            store.remove("servers", server.id);
        }
        Thread.sleep(4_000);
        record.say(late.size() + " orders reached a server more than " + DRAIN_MS
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
            Thread.sleep(400);
        }
    }

    private void arrived(Server server, Http request, boolean runs) {
        String id = request.header("X-Request-Id");
        String entry = entryOf.get(id);
        Long acknowledged = entry == null ? null : acknowledgedAt.get(entry + server.id);
        String note = "";
        if (runs && acknowledged != null) {
            long after = Record.now() - acknowledged;
            note = ", " + after + " ms after " + entry + " read that it leaves";
            if (after > DRAIN_MS) late.put(id, after);
        }
        record.line("server " + server.id + (runs ? " runs " : " turns away ") + id + note);
    }
}
