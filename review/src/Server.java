import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound server that registers itself in the store and answers each request after some work. */
class Server {
    final String id;
    private final String service;
    private final String zone;
    private final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Store store;
    private final Record record;
    private final long workMs;
    private int sequence;

    Server(Store store, Record record, String host, String service, String zone, long workMs) throws IOException {
        this.store = store;
        this.record = record;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 500);
        id = "i-" + Integer.toHexString(listener.getLocalPort()) + "-" + service;
        register();
        Threads.start("heartbeat", () -> {
            while (true) {
                Threads.sleep(1200);
                register();
            }
        });
        Threads.start("server", () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("server channel", () -> serve(socket));
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void register() {
        store.put("servers", id, "{\"service\":" + Json.quote(service) + ",\"address\":" + Json.quote(address())
            + ",\"zone\":" + Json.quote(zone) + ",\"version\":1,\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,"
            + "\"sequence\":" + ++sequence + ",\"born\":" + born + "}");
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.head(in)) != null) {
                Http.body(in, request, false);
                answer(request, out);
            }
        }
    }

    /** Runs the request and answers it. */
    void answer(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        if (requestId == null || expected != null && !expected.equals(id)) {
            write(out, requestId == null ? 400 : 421, requestId, "X-Not-Executed: 1\r\n", "not run");
            return;
        }
        record.write("run " + requestId + " at " + id + ", body of " + request.bodyLength + " bytes");
        Threads.sleep(workMs);
        record.write("ran " + requestId + " at " + id);
        write(out, 200, requestId, "X-Response-Stamp: " + requestId + "." + id + "\r\n", "x".repeat(800));
    }

    static void write(OutputStream out, int status, String requestId, String headers, String body) throws IOException {
        String text = "HTTP/1.1 " + status + " X\r\n" + (requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n")
            + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
