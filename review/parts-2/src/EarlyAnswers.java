import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send long bodies, within the limits of the configuration. Three times, for some seconds, the servers answer
 * each of them before they have read it, keep the channel, and read on later. Small requests go on all the time.
 *
 * Arguments: folder for the record, folder for temporary files, 1 with the disruption or 0 without it.
 */
final class EarlyAnswers {
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOADING_CLIENTS = 40;
    private static final long PAUSE_MS = 1000;
    private static final long READ_ON_AFTER_MS = 3000;
    private static final long CALM_MS = 3000;
    private static final long TROUBLE_MS = 6000;
    private static final int TIMES = 3;
    private static final long UPLOADS_FOR_MS = 29_000;
    private static final int SERVERS = 6;
    private static final long SMALL_FOR_MS = 49_000;
    private static final int SMALL_TIMEOUT_MS = 1500;
    private static final int UPLOAD_TIMEOUT_MS = 10_000;
    private static final int MARGIN_MS = 500;

    /** The rule speaks of more than half; this many have to be late for it to be no accident. */
    private static final int LEAST_LATE = 8;

    private static volatile boolean isTroubled;
    private static volatile boolean doesUpload = true;
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final AtomicInteger NEVER = new AtomicInteger();

    private EarlyAnswers() {}

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
            "timeout_ms":10000,"slo_ms":9000,"max_attempts":1,"priority":2,"service":"orders"},
            {"name":"status","host":"desk.example","prefix":"/status/","route_type":"idempotent",
            "timeout_ms":1500,"slo_ms":300,"max_attempts":2,"priority":2,"service":"orders"}],
            "services":[{"name":"orders","max_conns":220}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"yard","api_keys":["key-of-yard"]}]}""");
        for (int i = 0; i < SERVERS; i++) startServer(store, "i-" + i);
        int control = Entry.freePort();
        Entry entry = new Entry("front-a-1", "a", store, folder, List.of(control), control);
        entry.start();
        if (!entry.awaitReady()) {
            Recorder.write("the entry is not ready");
            return 2;
        }
        Recorder.sleep(5000);
        long start = Recorder.now();
        for (int client = 0; client < UPLOADING_CLIENTS; client++) {
            int number = client;
            Store.daemon("client " + client, () -> upload(entry, number));
        }
        List<Thread> small = new ArrayList<>();
        for (int n = 0; Recorder.now() < start + SMALL_FOR_MS; n++) {
            long elapsed = Recorder.now() - start;
            boolean isTime = hasTrouble && elapsed < (CALM_MS + TROUBLE_MS) * TIMES
                && elapsed % (CALM_MS + TROUBLE_MS) >= CALM_MS;
            if (isTime != isTroubled) Recorder.write(isTime ? "early answers begin" : "no more early answers");
            isTroubled = isTime;
            if (elapsed > UPLOADS_FOR_MS && doesUpload) {
                doesUpload = false;
                Recorder.write("no more long bodies");
            }
            String id = "s" + n;
            Thread thread = new Thread(() -> send(entry, "GET", "/status/", id, null, SMALL_TIMEOUT_MS));
            thread.setDaemon(true);
            thread.start();
            small.add(thread);
            Recorder.sleep(100);
        }
        for (Thread thread : small) thread.join(5000);
        int late = LATE.get();
        int never = NEVER.get();
        Recorder.write("process alive: %s, ready: %s", entry.process.isAlive(), entry.isReady());
        Recorder.write("answered in time %d, unanswered at their route's timeout %d, of these without an answer %d ms later %d",
            ANSWERED.get(), late, MARGIN_MS, never);
        return never >= LEAST_LATE && never * 2 > late ? 1 : 0;
    }

    private static void upload(Entry entry, int client) {
        byte[] body = new byte[BODY_BYTES];
        for (int n = 0; doesUpload; n++) {
            send(entry, "POST", "/photos/", "p" + client + "-" + n, body, UPLOAD_TIMEOUT_MS);
            Recorder.sleep(PAUSE_MS);
        }
    }

    /** Sends a request whose client waits for longer than the route's timeout, and counts its end. */
    private static void send(Entry entry, String method, String path, String id, byte[] body, int timeoutMs) {
        Recorder.write("client sends %s %s%s, %d bytes", method, path, id, body == null ? 0 : body.length);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entry.front), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs + MARGIN_MS);
            Http.write(socket.getOutputStream(), method + " " + path + id + " HTTP/1.1", Http.headers("Host", "desk.example",
                "X-Request-Id", id, "X-Deadline-Ms", String.valueOf(timeoutMs * 2), "X-Api-Key", "key-of-yard"), body);
            long sentAt = Recorder.now();
            Http.Message answer = Http.read(socket.getInputStream(), true);
            long elapsed = Recorder.now() - sentAt;
            Recorder.write("client gets %s for %s after %d ms", answer == null ? "a closed channel" : answer.status(), id,
                elapsed);
            (elapsed > timeoutMs ? LATE : ANSWERED).incrementAndGet();
        } catch (java.net.SocketTimeoutException e) {
            Recorder.write("client gets nothing for %s", id);
            if (body == null) {
                LATE.incrementAndGet();
                NEVER.incrementAndGet();
            }
        } catch (IOException e) {
            Recorder.write("client's channel for %s fails: %s", id, e.getMessage());
        }
    }

    private static void startServer(Store store, String id) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(16_384);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        store.put("servers", id, "{\"service\":\"orders\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
            + "\",\"zone\":\"a\",\"version\":1,\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":"
            + System.currentTimeMillis() + "}");
        Store.daemon("server " + id, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Store.daemon("request at " + id, () -> serve(socket, id));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void serve(Socket socket, String id) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8192);
            while (true) {
                Http.Message head = Http.head(in);
                if (head == null) return;
                int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
                boolean isEarly = isTroubled && length > 100_000;
                if (isEarly) {
                    answer(socket.getOutputStream(), head, id);
                    Recorder.write("server %s has answered %s early", id, head.header("X-Request-Id"));
                    Recorder.sleep(READ_ON_AFTER_MS);
                }
                for (int left = length; left > 0; ) {
                    byte[] bytes = in.readNBytes(Math.min(left, 65_536));
                    if (bytes.length == 0) return;
                    left -= bytes.length;
                }
                if (!isEarly) answer(socket.getOutputStream(), head, id);
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    private static void answer(OutputStream out, Http.Message request, String id) throws IOException {
        String requestId = request.header("X-Request-Id");
        Http.write(out, "HTTP/1.1 200 OK", Http.headers("X-Request-Id", requestId, "X-Response-Stamp",
            "stamp-" + requestId, "X-Server-Load", "1,0,6", "X-Instance-Id", id, "Keep-Alive", "timeout=10"),
            "done".getBytes(StandardCharsets.UTF_8));
    }
}
