import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A drill shortly after the system has started, then a server is added: do the entries keep to what it tolerates cold? */
final class CaseColdAfterDrill extends Case {
    private static final double COLD_PER_S = 11;
    private static final double BOUND = COLD_PER_S * 1.5 + 5;
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new CaseColdAfterDrill(), arguments);
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Config.orders(1, "orders", List.of("key-depot"), List.of("orders"))
            .replace("\"health_path\"", "\"cold_s\":3.0,\"cold_per_s\":" + COLD_PER_S + ",\"health_path\""));
        for (int i = 1; i <= 4; i++) new ColdServer("orders-" + i, store, record, 90, 0, Integer.MAX_VALUE).beat(HEARTBEAT_MS);
        Thread.sleep(3_000);
        long startAt = Record.now();
        var bounds = Entry.bounds();
        bounds.putAll(java.util.Map.of("config_apply_ms", "3000", "drain_ms", "3000", "retry_slack", "96"));
        startEntries(28, bounds);
        long readyAt = Record.now();
        record.line("all entries are ready " + (readyAt - startAt) + " ms after the start");
        if (trouble) store.drill(300, readyAt - startAt + 300, true);
        // Traffic starts 19 s after the machines do.
        while (Record.now() < startAt + 19_000) Thread.sleep(20);
        for (Entry entry : entries) Threads.start("client", () -> callWithOrders(entry));
        Thread.sleep(500);
        record.line("a server is added, cold for 3 s");
        ColdServer added = new ColdServer("orders-5", store, record, 45, 3_000, 40);
        added.beat(HEARTBEAT_MS);
        Thread.sleep(5_000);
        int most = added.mostInASecond();
        record.say(most + " requests reached the cold server within a second, " + BOUND + " are allowed; " + lost.get() + " of "
            + orders.get() + " orders were not served");
        return most <= BOUND;
    }

    private void callWithOrders(Entry entry) throws InterruptedException {
        while (true) {
            Threads.start("order", () -> {
                Client.Result result =
                    Client.send(Client.newId(), entry.frontPort, "POST", HOST, "/order/1", "key-depot", 3_000, "order");
                orders.incrementAndGet();
                if (result.status() != 200) {
                    lost.incrementAndGet();
                    record.line("client: " + result.id() + " through " + entry.name + " -> " + result.status() + " " + result.body());
                }
            });
            Thread.sleep(150);
        }
    }
}
