import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of a model server: answers with a stream of events. It crashes when it begins to answer a prompt with a
 * certain part, and is then gone; another boot comes back in its place.
 */
final class Engine {
    /** Is told of each request that reaches the server. */
    interface Listener {
        void arrived(Engine engine, String requestId, boolean crashes);
    }

    final String id;
    private final Store store;
    private final String poison;
    private final Listener listener;
    private final ServerSocket socket;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private long sequence = 0;
    private volatile boolean hasEnded = false;

    Engine(String id, Store store, String poison, Listener listener) throws IOException {
        this.id = id;
        this.store = store;
        this.poison = poison;
        this.listener = listener;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("engine-" + id, () -> {
            while (true) {
                Socket channel = socket.accept();
                open.add(channel);
                Threads.start("engine-channel", () -> serve(channel));
            }
        });
    }

    /** Writes the row every [heartbeatMs] until the server crashes. */
    void beat(long heartbeatMs) {
        Threads.start("beat-" + id, () -> {
            while (!hasEnded) {
                sequence++;
                store.put("servers", id, "{\"service\":\"advisor\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                    + "\",\"zone\":\"nashua\",\"version\":\"1\",\"slots\":48,\"state\":\"ready\",\"cold_left_ms\":0,"
                    + "\"sequence\":" + sequence + ",\"born\":" + born + "}");
                Thread.sleep(heartbeatMs);
            }
        });
    }

    private void crash() throws IOException {
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
                String head = "X-Request-Id: " + requestId + "\r\n";
                if (!id.equals(request.header("X-Expect-Instance"))) {
                    write(channel, "HTTP/1.1 421 Misdirected\r\n" + head + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                boolean crashes = request.header("X-Prompt-Prefix").contains(poison);
                listener.arrived(this, requestId, crashes);
                Thread.sleep(80);
                if (crashes) {
                    crash();
                    return;
                }
                write(channel, "HTTP/1.1 200 OK\r\n" + head + "X-Response-Stamp: s." + requestId
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = 1; event <= 12; event++) {
                    String text = "id: " + event + "\ndata: " + requestId + "\n\n";
                    write(channel, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                    Thread.sleep(100);
                }
                write(channel, "0\r\n\r\n");
            }
        } finally {
            open.remove(channel);
        }
    }

    private static void write(Socket channel, String text) throws IOException {
        channel.getOutputStream().write(Http.bytes(text));
        channel.getOutputStream().flush();
    }
}
