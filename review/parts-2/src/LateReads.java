import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload long bodies, within the limits of the configuration, and others send orders of medium length with a
 * short deadline, after which they close their channels. Bursts multiply the uploads.
 *
 * Arguments: folder for the record, folder for temporary files, 1 with the disruption or 0 without it.
 */
final class LateReads {
    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int UPLOADING_CLIENTS = 8;
    private static final double BURST = 2.5;
    private static final long UPLOAD_WORK_MS = 2000;
    private static final int UPLOAD_DEADLINE_MS = 10_000;
    private static final int ORDER_BYTES = 100_000;
    private static final int ORDER_DEADLINE_MS = 1000;
    private static final long ORDER_WORK_MS = 50;
    private static final long ORDER_INTERVAL_MS = 60;
    private static final long CALM_MS = 6000;
    private static final long BURST_MS = 6500;
    private static final int BURSTS = 2;

    /** A request that reaches a server so long after its client has closed the channel breaks the rule. */
    private static final long GONE_MS = 500;

    /** The rule allows "a few". */
    private static final int FEW = 5;

    private static final Map<String, Long> CLOSED = new ConcurrentHashMap<>();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final Map<String, AtomicInteger> ENDS = new ConcurrentHashMap<>();
    private static volatile boolean isOver;
    private static volatile boolean isBurst;

    private LateReads() {}

    public static void main(String[] arguments) throws Exception {
        Recorder.open(Path.of(arguments[0], "record.txt"));
        int status = 2;
        try {
            status = play(Path.of(arguments[1]), arguments[2].equals("1"));
        } finally {
            Entry.endAll();
        }
        System.exit(status);
    }

    private static int play(Path folder, boolean hasTrouble) throws Exception {
        Store store = new Store();
        store.put("op", "config", """
            {"version":3,"routes":[
            {"name":"photos","host":"desk.example","prefix":"/photos/","route_type":"idempotent",
            "timeout_ms":10000,"slo_ms":9000,"max_attempts":1,"priority":2,"service":"photo-desk"},
            {"name":"orders","host":"desk.example","prefix":"/orders/","route_type":"non_idempotent",
            "timeout_ms":1500,"slo_ms":300,"max_attempts":1,"priority":2,"service":"order-desk"}],
            "services":[{"name":"photo-desk","max_conns":220},{"name":"order-desk","max_conns":220}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"yard","api_keys":["key-of-yard"]}]}""");
        for (int i = 0; i < 3; i++) startServer(store, "photo-desk", "i-p" + i, UPLOAD_WORK_MS);
        for (int i = 0; i < 3; i++) startServer(store, "order-desk", "i-o" + i, ORDER_WORK_MS);
        int control = Entry.freePort();
        Entry entry = new Entry("front-a-1", "a", store, folder, List.of(control), control);
        entry.start();
        if (!entry.awaitReady()) return 2;
        Recorder.sleep(4000);
        for (int client = 0; client < UPLOADING_CLIENTS; client++) startUploads(entry, client);
        Store.daemon("orders", () -> {
            for (int n = 0; !isOver; n++) {
                String id = "o" + n;
                Store.daemon("order " + id, () ->
                    send(entry, "/orders/", id, new byte[ORDER_BYTES], ORDER_DEADLINE_MS));
                Recorder.sleep(ORDER_INTERVAL_MS);
            }
        });
        Recorder.sleep(CALM_MS);
        for (int burst = 0; burst < BURSTS; burst++) {
            if (hasTrouble) {
                Recorder.write("burst: %.1f times the uploads", BURST);
                isBurst = true;
                for (int c = UPLOADING_CLIENTS; c < UPLOADING_CLIENTS * BURST; c++) startUploads(entry, c);
            }
            Recorder.sleep(BURST_MS);
            isBurst = false;
            Recorder.write("no burst");
            Recorder.sleep(CALM_MS);
        }
        isOver = true;
        Recorder.sleep(4000);
        Recorder.write("ends %s; requests that reached a server over %d ms after their clients had left: %d",
            ENDS, GONE_MS, LATE.get());
        return LATE.get() > FEW ? 1 : 0;
    }

    private static void startUploads(Entry entry, int client) {
        Store.daemon("client " + client, () -> {
            byte[] body = new byte[UPLOAD_BYTES];
            boolean isRegular = client < UPLOADING_CLIENTS;
            for (int n = 0; !isOver && (isRegular || isBurst); n++) {
                send(entry, "/photos/", "p" + client + "-" + n, body, UPLOAD_DEADLINE_MS);
                Recorder.sleep(300);
            }
        });
    }

    /** Sends a request, and closes its channel when its deadline has passed. */
    private static void send(Entry entry, String path, String id, byte[] body, int deadlineMs) {
        Recorder.write("client sends %s%s, %d bytes", path, id, body.length);
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entry.front), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMs);
            Http.write(socket.getOutputStream(), "POST " + path + id + " HTTP/1.1", Http.headers("Host", "desk.example",
                "X-Request-Id", id, "X-Deadline-Ms", String.valueOf(deadlineMs), "X-Api-Key", "key-of-yard"), body);
            Http.Message answer = Http.read(socket.getInputStream(), true);
            end = answer == null ? "a closed channel" : String.valueOf(answer.status());
        } catch (SocketTimeoutException e) {
            end = "nothing by its deadline, and closes its channel";
            CLOSED.put(id, Recorder.now());
        } catch (IOException e) {
            end = "a broken channel";
        }
        ENDS.computeIfAbsent(path + " " + end, key -> new AtomicInteger()).incrementAndGet();
        Recorder.write("client of %s gets %s", id, end);
    }

    private static void startServer(Store store, String service, String id, long workMs) throws IOException {
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Semaphore slots = new Semaphore(6, true);
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
            + "\",\"zone\":\"a\",\"version\":1,\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":"
            + System.currentTimeMillis() + "}");
        Store.daemon("server " + id, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Store.daemon("request at " + id, () -> serve(socket, id, slots, workMs));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void serve(Socket socket, String id, Semaphore slots, long workMs) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message head = Http.head(in);
                if (head == null) return;
                String requestId = head.header("X-Request-Id");
                Long closedAt = CLOSED.get(requestId);
                long now = Recorder.now();
                Recorder.write("%s reaches server %s%s, with %s ms left", requestId, id,
                    closedAt == null ? "" : ", " + (now - closedAt) + " ms after its client has left",
                    head.header("X-Deadline-Ms"));
                if (closedAt != null && now - closedAt > GONE_MS) LATE.incrementAndGet();
                for (int left = Integer.parseInt(head.headers().getOrDefault("content-length", "0")); left > 0; ) {
                    byte[] bytes = in.readNBytes(Math.min(left, 65_536));
                    if (bytes.length == 0) return;
                    left -= bytes.length;
                }
                slots.acquireUninterruptibly();
                Recorder.sleep(workMs);
                slots.release();
                Http.write(out, "HTTP/1.1 200 OK", Http.headers("X-Request-Id", requestId, "X-Response-Stamp",
                    "stamp-" + requestId, "X-Server-Load", (6 - slots.availablePermits()) + ",0,6", "Keep-Alive",
                    "timeout=10"), "done".getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }
}
