import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service, which registers itself in the store by heartbeats that go through its {@link Link}. */
final class PlainServer {
    interface RunListener {
        /** Called when the server begins to work on a request. */
        void runs(PlainServer server, String requestId, long at);
    }

    static final long HEARTBEAT_MS = 1200;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;

    final String id;
    private final String service;
    private final String zone;
    private final long workMs;
    private final ServerSocket listener;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger present = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private final Link link;
    private final RunListener runs;
    private long sequence;
    private Socket toStore;
    private volatile boolean isLeaving;
    private volatile boolean hasEnded;

    /** When the last heartbeat was sent. */
    volatile long heartbeatAt;

    /** When the store accepted that the server is draining, or -1. */
    volatile long drainAckAt = -1;

    PlainServer(String id, String service, String zone, long workMs, Link link, RunListener runs) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        this.link = link;
        this.runs = runs;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Store.daemon("server " + id, this::accept);
    }

    /** Starts the heartbeats; the first one is sent at once. */
    void startHeartbeats() {
        Store.daemon("heartbeats " + id, () -> {
            while (!hasEnded) {
                long next = Recorder.now() + HEARTBEAT_MS;
                heartbeat();
                synchronized (this) {
                    long left = next - Recorder.now();
                    try {
                        if (left > 0) wait(left);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
        });
    }

    /** Reports that the server is draining, at once. */
    synchronized void leave() {
        isLeaving = true;
        notifyAll();
    }

    /** Ends the server, which removes its entry. */
    void end(Store store) throws IOException {
        hasEnded = true;
        listener.close();
        store.remove("servers", id);
        Recorder.write("server %s ends", id);
    }

    private void heartbeat() {
        boolean leaving = isLeaving;
        heartbeatAt = Recorder.now();
        long number = ++sequence;
        String text = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
            + "\",\"zone\":\"" + zone + "\",\"version\":1,\"slots\":" + SLOTS + ",\"state\":\""
            + (leaving ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"sequence\":" + number + ",\"born\":" + born + "}";
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        String body = "{\"set_keys\":[{\"table\":\"servers\",\"part\":\"\",\"key\":\"" + id + "\",\"value\":\"" + value + "\"}]}";
        try {
            if (toStore == null) toStore = link.connect();
            toStore.setSoTimeout(1000);
            Http.write(toStore.getOutputStream(), "POST /v1/rows-tx HTTP/1.1",
                Http.headers("Host", "store", "Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
            Http.Message answer = Http.read(toStore.getInputStream(), true);
            if (answer == null || answer.status() != 200) throw new IOException("no answer");
            if (leaving && drainAckAt < 0) {
                drainAckAt = Recorder.now();
                Recorder.write("server %s: the store has accepted draining, sequence %d", id, number);
            }
        } catch (IOException e) {
            Recorder.write("server %s: heartbeat %d (%s) got no answer: %s", id, number, leaving ? "draining" : "ready",
                e.getMessage());
            try {
                if (toStore != null) toStore.close();
            } catch (IOException ignored) {
                // It is given up.
            }
            toStore = null;
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Store.daemon("request at " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream(), false);
                if (request == null) return;
                if (!answer(request, socket.getOutputStream())) return;
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    private boolean answer(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("X-Request-Id");
        Map<String, String> headers = Http.headers("X-Instance-Id", id);
        if (requestId != null) headers.put("X-Request-Id", requestId);
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            headers.put("X-Not-Executed", "1");
            Http.write(out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return true;
        }
        if (present.incrementAndGet() > SLOTS + QUEUE) {
            present.decrementAndGet();
            headers.put("X-Not-Executed", "1");
            Http.write(out, "HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
            return true;
        }
        slots.acquireUninterruptibly();
        try {
            runs.runs(this, requestId, Recorder.now());
            Recorder.sleep(workMs);
        } finally {
            slots.release();
            present.decrementAndGet();
        }
        boolean leaving = isLeaving;
        int running = SLOTS - slots.availablePermits();
        headers.put("X-Response-Stamp", "stamp-" + requestId);
        headers.put("X-Server-Load", running + "," + Math.max(0, present.get() - running) + "," + SLOTS);
        if (leaving) {
            headers.put("Server-Leaving", "1");
            headers.put("Connection", "close");
        } else {
            headers.put("Keep-Alive", "timeout=10");
        }
        Http.write(out, "HTTP/1.1 200 OK", headers, ("ran " + requestId).getBytes(StandardCharsets.UTF_8));
        return !leaving;
    }
}
