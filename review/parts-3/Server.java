import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a server of a plain service: registers itself in the store, runs requests, reports that it leaves. */
final class Server implements AutoCloseable {
    /** Is told of each request that the server runs, or has turned away with 421. */
    interface Listener {
        void arrived(Server server, Http request, boolean runs);
    }

    final String id;
    final String service;
    private final String zone;
    private final Store store;
    private final long workMs;
    private final Listener listener;
    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private long sequence = 0;
    volatile boolean isDraining = false;
    private volatile boolean hasEnded = false;
    private volatile boolean beats = true;
    private final AtomicInteger running = new AtomicInteger();

    Server(String id, String service, String zone, Store store, long workMs, Listener listener) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.workMs = workMs;
        this.listener = listener;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("server-" + id, () -> {
            while (true) {
                Socket channel = socket.accept();
                open.add(channel);
                Threads.start("server-channel", () -> serve(channel));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Writes the row every [heartbeatMs] from now on. */
    void beat(long heartbeatMs) throws InterruptedException {
        write();
        Threads.start("beat-" + id, () -> {
            while (!hasEnded) {
                Thread.sleep(heartbeatMs);
                if (beats && !hasEnded) write();
            }
        });
    }

    private synchronized String row(boolean draining) {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"1\",\"slots\":6,\"state\":\"" + (draining ? "draining" : "ready")
            + "\",\"cold_left_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    private long write() throws InterruptedException {
        return store.put("servers", id, row(isDraining));
    }

    /** Returns the row that the next write would hold, without writing it. */
    String nextRow() {
        return row(isDraining);
    }

    /** Reports that the server leaves, and goes on with its heartbeats; returns once the store has accepted the report. */
    void restartBeat(long heartbeatMs) throws InterruptedException {
        isDraining = true;
        beats = false;
        write();
        Threads.start("beat-" + id, () -> {
            while (!hasEnded) {
                Thread.sleep(heartbeatMs);
                if (!hasEnded) write();
            }
        });
    }

    /** Ends the process of the server: nothing listens any more, and work in progress is cut. */
    void end() throws IOException {
        hasEnded = true;
        socket.close();
        for (Socket channel : open) Threads.closeHard(channel);
    }

    private void serve(Socket channel) throws IOException, InterruptedException {
        try (channel) {
            channel.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(channel.getInputStream());
            while (true) {
                Http request = Http.read(in);
                if (request == null) return;
                String requestId = request.header("X-Request-Id");
                String echo = requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n";
                // A server that leaves says so in all its answers.
                String leaving = isDraining ? "Server-Leaving: 1\r\n" : "";
                String expected = request.header("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    listener.arrived(this, request, false);
                    write(channel, "HTTP/1.1 421 Misdirected\r\n" + echo + leaving
                        + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                listener.arrived(this, request, true);
                running.incrementAndGet();
                Thread.sleep(workMs);
                int now = running.decrementAndGet();
                String body = "done " + requestId;
                leaving = isDraining ? "Server-Leaving: 1\r\n" : "";
                write(channel, "HTTP/1.1 200 OK\r\n" + echo + leaving + "X-Response-Stamp: s." + requestId + "\r\nX-Server-Load: " + now
                    + ",0,6\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        } finally {
            open.remove(channel);
        }
    }

    private static void write(Socket channel, String text) throws IOException {
        channel.getOutputStream().write(Http.bytes(text));
        channel.getOutputStream().flush();
    }

    /** Leaves as planned: reports draining, serves on for [serveMs], ends, and is removed from the store. */
    void leave(long heartbeatMs, long serveMs) throws InterruptedException, IOException {
        restartBeat(heartbeatMs);
        Thread.sleep(serveMs);
        end();
        store.remove("servers", id);
    }

    @Override
    public void close() throws IOException {
        end();
    }
}
