import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.UUID;

/** Sends requests, each on a channel of its own. */
final class Client {
    /** One request and what came of it; status 0 means that the channel ended without a whole answer. */
    record Result(String id, long sentAt, long endedAt, int status, String body, String stamp) {}

    static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    static Result send(String id, int port, String method, String host, String path, String key, int deadlineMs,
        String body) {
        return send(id, port, method, host, path, key, deadlineMs, body, "");
    }

    /** Sends a request with [moreHeaders], each with its line break. */
    static Result send(String id, int port, String method, String host, String path, String key, int deadlineMs,
        String body, String moreHeaders) {
        long sentAt = Record.now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(deadlineMs);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + (key == null ? "" : "X-Api-Key: " + key + "\r\n") + moreHeaders
                + (body == null ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + (body == null ? "" : body);
            socket.getOutputStream().write(Http.bytes(head));
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) return new Result(id, sentAt, Record.now(), 0, "", null);
            return new Result(id, sentAt, Record.now(), answer.status(), answer.text().trim(),
                answer.header("X-Response-Stamp"));
        } catch (IOException e) {
            return new Result(id, sentAt, Record.now(), 0, e.toString(), null);
        }
    }

    private Client() {}
}
