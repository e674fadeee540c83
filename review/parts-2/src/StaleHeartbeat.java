import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers of one service leave, one after the other. The path of each to the store is cut for 5 s some time before, and
 * a heartbeat that it sent at the beginning of the cut reaches the store after the report that it is draining.
 *
 * Arguments: folder for the record, folder for temporary files, 1 with the disruption or 0 without it.
 */
final class StaleHeartbeat {
    private static final long DRAIN_MS = 2000;
    private static final long CUT_MS = 5000;
    private static final int ROUNDS = 5;

    private record Arrival(String requestId, long at) {}

    private static final ConcurrentHashMap<String, List<Arrival>> ARRIVALS = new ConcurrentHashMap<>();

    private StaleHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        Recorder.open(Path.of(arguments[0], "record.txt"));
        Path folder = Path.of(arguments[1]);
        boolean hasTrouble = arguments[2].equals("1");
        int status = 2;
        try {
            status = play(folder, hasTrouble);
        } finally {
            Entry.endAll();
        }
        System.exit(status);
    }

    private static void runs(PlainServer server, String requestId, long at) {
        ARRIVALS.computeIfAbsent(server.id, key -> new ArrayList<>());
        List<Arrival> list = ARRIVALS.get(server.id);
        synchronized (list) {
            list.add(new Arrival(requestId, at));
        }
        Recorder.write("server %s runs %s", server.id, requestId);
    }

    private static int play(Path folder, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", """
            {"version":3,"routes":[{"name":"status","host":"desk.example","prefix":"/status/","route_type":"idempotent",
            "timeout_ms":1500,"slo_ms":300,"max_attempts":2,"priority":2,"service":"orders"}],
            "services":[{"name":"orders","max_conns":52}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"yard","api_keys":["key-of-yard"]}]}""");
        List<PlainServer> servers = new ArrayList<>();
        List<Link> links = new ArrayList<>();
        for (int i = 0; i < 3; i++) add(store, servers, links, i);
        int firstControl = Entry.freePort();
        int secondControl = Entry.freePort();
        List<Integer> seeds = List.of(firstControl, secondControl);
        Entry first = new Entry("front-a-1", "a", store, folder, seeds, firstControl);
        Entry second = new Entry("front-b-1", "b", store, folder, seeds, secondControl);
        first.start();
        second.start();
        if (!first.awaitReady() || !second.awaitReady()) {
            Recorder.write("an entry is not ready");
            return 2;
        }
        store.expireServers(3 * PlainServer.HEARTBEAT_MS);
        Recorder.sleep(4000);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        ExecutorService callers = Executors.newFixedThreadPool(40, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Store.daemon("traffic", () -> {
            for (int n = 0; ; n++) {
                String id = "r" + n;
                int port = n % 2 == 0 ? first.front : second.front;
                callers.execute(() -> {
                    Recorder.write("client sends %s to %s", id, port == first.front ? first.name : second.name);
                    Http.Message answer = Caller.call(port, "GET", "/status/" + id, Http.headers("Host", "desk.example",
                        "X-Request-Id", id, "X-Deadline-Ms", "3000", "X-Api-Key", "key-of-yard"), null, 3000);
                    Recorder.write("client gets %s for %s", answer == null ? "no answer" : answer.status(), id);
                    (answer != null && answer.status() == 200 ? answered : other).incrementAndGet();
                });
                Recorder.sleep(230);
            }
        });
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            PlainServer leaving = servers.get(round);
            Link link = links.get(round);
            // Just before the next heartbeat, which is sent on the open channel.
            long last = leaving.heartbeatAt;
            while (leaving.heartbeatAt == last) Recorder.sleep(5);
            Recorder.sleepUntil(leaving.heartbeatAt + PlainServer.HEARTBEAT_MS - 100);
            long start = Recorder.now();
            if (hasTrouble) {
                Recorder.write("the path of server %s to the store is cut for %d ms", leaving.id, CUT_MS);
                link.cut(CUT_MS);
            }
            Recorder.sleepUntil(start + 6_950);
            Recorder.write("server %s begins to leave", leaving.id);
            leaving.leave();
            Recorder.sleepUntil(start + 12_500);
            if (leaving.drainAckAt < 0) {
                Recorder.write("server %s could not report that it is draining", leaving.id);
                return 2;
            }
            long bound = leaving.drainAckAt + DRAIN_MS;
            List<Arrival> arrivals = ARRIVALS.getOrDefault(leaving.id, List.of());
            synchronized (arrivals) {
                for (Arrival arrival : arrivals) {
                    if (arrival.at() <= bound) continue;
                    broken++;
                    Recorder.write("BROKEN: %s reached server %s %d ms after the ack of its draining",
                        arrival.requestId(), leaving.id, arrival.at() - leaving.drainAckAt);
                }
            }
            leaving.end(store);
            add(store, servers, links, 3 + round);
            Recorder.sleep(1500);
        }
        Recorder.write("answered %d, other ends %d, requests to a leaving server after drain_ms: %d", answered.get(),
            other.get(), broken);
        if (answered.get() < 50) return 2;
        return broken > 0 ? 1 : 0;
    }

    /** Servers differ in speed; the ones that leave first are the fastest. */
    private static void add(Store store, List<PlainServer> servers, List<Link> links, int number) throws Exception {
        Link link = new Link(store);
        PlainServer server = new PlainServer("i-" + number, "orders", number % 2 == 0 ? "a" : "b", 40 + 10 * number, link,
            StaleHeartbeat::runs);
        server.startHeartbeats();
        servers.add(server);
        links.add(link);
    }
}
