import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model server: reads a prompt, then sends a stream of events. It crashes when it begins to answer a prompt with the
 * part {@link #DEADLY_PART}, and starts again some seconds later as a new one.
 */
final class ModelServer {
    interface Listener {
        /** A request has reached the server; {@code isDeadly} when it has the part that crashes servers. */
        void reached(String requestId, boolean isDeadly);

        /** The server has crashed because of a request. */
        void crashed();
    }

    static final String DEADLY_PART = "dead0bad";
    static final int EVENTS = 20;
    private static final long DOWN_MS = 4000;
    private static final int BACKLOG = 8;
    private static final int SLOTS = 48;
    private static final long PREFILL_MS = 300;
    private static final long EVENT_MS = 100;

    private final Store store;
    private final String service;
    private final String zone;
    private final String name;
    private final Listener told;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private volatile int port;
    private int boot;
    private volatile ServerSocket listener;
    private volatile boolean isDown = true;
    private final List<Socket> fillers = new ArrayList<>();

    /** Whether a crash takes the server's machine with it: channels fall silent and new ones are not answered. */
    static volatile boolean goesDark;
    volatile String id;

    ModelServer(Store store, String service, String zone, String name, Listener told) {
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.name = name;
        this.told = told;
    }

    /** Starts the server under a new id, and registers it. */
    synchronized void start() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
        port = listener.getLocalPort();
        id = name + "-" + ++boot;
        isDown = false;
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":1,\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":"
            + System.currentTimeMillis() + "}");
        ServerSocket own = listener;
        String ownId = id;
        Store.daemon("model server " + id, () -> {
            while (true) {
                try {
                    while (isDown && own == listener) Recorder.sleep(5);
                    Socket socket = own.accept();
                    while (isDown && own == listener) Recorder.sleep(5);
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Store.daemon("request at " + ownId, () -> serve(socket, ownId));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Ends the server at once: its channels are reset, and its entry expires after three intervals of heartbeats. */
    synchronized void crash() throws IOException {
        if (isDown) return;
        isDown = true;
        told.crashed();
        Recorder.write("server %s crashes, it runs %d requests", id, running.get());
        if (goesDark) {
            fallSilent();
        } else {
            reset();
        }
        String gone = id;
        Store.daemon("expiry of " + gone, () -> {
            Recorder.sleep(3600);
            store.remove("servers", gone);
            Recorder.sleep(DOWN_MS - 3600);
            try {
                if (goesDark) reset();
                for (Socket filler : fillers) filler.close();
                fillers.clear();
                start();
                Recorder.write("server %s has started", id);
            } catch (IOException e) {
                Recorder.write("server %s cannot start: %s", name, e.getMessage());
            }
        });
    }

    /** Nobody accepts channels any more, and those that wait to be accepted leave no room for others. */
    private void fallSilent() {
        for (int i = 0; i < BACKLOG + 3; i++) {
            try {
                Socket filler = new Socket();
                filler.connect(new InetSocketAddress("127.0.0.1", port), 50);
                fillers.add(filler);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void reset() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It was closed already.
            }
        }
        sockets.clear();
    }

    private void serve(Socket socket, String ownId) {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream(), false);
                if (request == null) return;
                hangWhileDark(ownId);
                answer(request, socket.getOutputStream(), ownId);
            }
        } catch (IOException e) {
            // The caller has gone, or the server has crashed.
        } finally {
            sockets.remove(socket);
        }
    }

    private void hangWhileDark(String ownId) {
        while (goesDark && isDown && ownId.equals(id)) Recorder.sleep(20);
    }

    private void answer(Http.Message request, OutputStream out, String ownId) throws IOException {
        String requestId = request.header("X-Request-Id");
        Map<String, String> headers = Http.headers("X-Instance-Id", ownId, "X-Server-Load",
            Math.min(SLOTS, running.get()) + "," + Math.max(0, running.get() - SLOTS) + "," + SLOTS);
        if (requestId != null) headers.put("X-Request-Id", requestId);
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(ownId)) {
            headers.put("X-Not-Executed", "1");
            Http.write(out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return;
        }
        boolean isDeadly = request.headers().getOrDefault("x-prompt-prefix", "").contains(DEADLY_PART + ":");
        told.reached(requestId, isDeadly);
        Recorder.write("%s reaches server %s%s", requestId, ownId, isDeadly ? ", with the part that crashes servers" : "");
        running.incrementAndGet();
        try {
            Recorder.sleep(PREFILL_MS);
            if (isDeadly) crash();
            hangWhileDark(ownId);
            if (isDown || !ownId.equals(id)) throw new IOException("down");
            Recorder.write("server %s runs %s", ownId, requestId);
            headers.put("X-Response-Stamp", "stamp-" + requestId);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            Http.write(out, "HTTP/1.1 200 OK", headers, null);
            String last = request.header("Last-Event-Id");
            for (int event = last == null ? 0 : Integer.parseInt(last) + 1; event < EVENTS; event++) {
                byte[] bytes = ("id: " + event + "\ndata: " + requestId + "\n\n").getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Recorder.sleep(EVENT_MS);
                hangWhileDark(ownId);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        } finally {
            running.decrementAndGet();
        }
    }
}
