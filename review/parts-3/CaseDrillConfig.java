import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration shortly after a drill: does every entry follow it? */
final class CaseDrillConfig extends Case {
    public static void main(String[] arguments) {
        run(new CaseDrillConfig(), arguments);
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", Config.orders(1, "orders", List.of("key-depot", "key-dropped"), List.of("orders", "desk", "portal")));
        Server.Listener listener = (server, request, runs) ->
            record.line("server " + server.id + " of " + server.service + (runs ? " runs " : " turns away ")
                + request.header("X-Request-Id"));
        for (int i = 1; i <= 12; i++) {
            String service = i <= 6 ? "orders" : "desk";
            servers.add(new Server(service + "-" + i, service, "nashua", store, 20, listener));
        }
        for (Server server : servers) {
            server.beat(HEARTBEAT_MS);
            Thread.sleep(HEARTBEAT_MS / 12);
        }
        startEntries(4, Entry.bounds());
        Thread.sleep(1_000);
        // A release of another service goes on all the while, as planned work: two servers are replaced every 700 ms.
        Threads.start("release", () -> release(listener));
        Thread.sleep(6_000);
        // The operator's change is on its way while the store is away, and is accepted when the store is back.
        Thread drill = Threads.start("drill", () -> {
            if (trouble) store.drill(300, 2_000, false);
        });
        Thread.sleep(100);
        long version = store.put("op", "config",
            Config.orders(2, "desk", List.of("key-depot"), List.of("orders", "desk", "portal")));
        long ackAt = Record.now();
        drill.join();
        long drillEnd = Record.now();
        record.line("operator: version 2 (route moved to desk, key-dropped removed) acknowledged, ver " + version);
        long judgeFrom = Math.max(ackAt + CONFIG_APPLY_MS, drillEnd + CONTACT_MS) + 500;
        AtomicInteger broken = new AtomicInteger();
        while (Record.now() < judgeFrom) Thread.sleep(20);
        for (int round = 0; round < 25; round++) {
            for (Entry entry : entries) {
                Client.Result dropped =
                    Client.send(Client.newId(), entry.frontPort, "POST", HOST, "/order/1", "key-dropped", 3_000, "order");
                Client.Result kept =
                    Client.send(Client.newId(), entry.frontPort, "POST", HOST, "/order/1", "key-depot", 3_000, "order");
                record.line("client: " + entry.name + " " + (dropped.sentAt() - ackAt) + " ms after the ack: dropped key "
                    + dropped.id() + " -> " + dropped.status() + ", kept key " + kept.id() + " -> " + kept.status());
                if (dropped.status() == 200) broken.incrementAndGet();
            }
            Thread.sleep(400);
        }
        record.say(broken.get() + " requests with the dropped key were run");
        return broken.get() == 0;
    }

    private void release(Server.Listener listener) throws Exception {
        Deque<Server> old = new ArrayDeque<>();
        for (int i = 1; i <= 8; i++) {
            Server server = new Server("portal-" + i, "portal", "nashua", store, 20, listener);
            server.beat(HEARTBEAT_MS);
            old.add(server);
        }
        for (int i = 9; i < 200; i += 2) {
            for (int j = i; j < i + 2; j++) {
                Server next = new Server("portal-" + j, "portal", "nashua", store, 20, listener);
                next.beat(HEARTBEAT_MS);
                old.add(next);
                Server leaving = old.remove();
                Threads.start("leave", () -> leaving.leave(HEARTBEAT_MS, DRAIN_MS + 300));
            }
            Thread.sleep(700);
        }
    }
}
