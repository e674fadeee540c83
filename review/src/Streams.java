import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client of streaming routes. */
final class Streams {
    /** How a stream ended; {@code isComplete} when its end was received. */
    static final class Result {
        int status;
        int events;
        boolean isComplete;
        String end = "";
    }

    private Streams() {
    }

    /** Sends a request on a new channel and reads its answer to the end. */
    static Result request(Entry entry, String path, String id, String prefix, int deadlineMs, int silenceMs) {
        Result result = new Result();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host, entry.port), 1_000);
            socket.setSoTimeout(silenceMs);
            socket.getOutputStream().write(("POST " + path + " HTTP/1.1\r\nHost: llm.example\r\nX-Request-Id: " + id
                + "\r\nX-Api-Key: key1\r\nX-Deadline-Ms: " + deadlineMs + "\r\nX-Model: m\r\nX-Token-Usage: 900,60\r\n"
                + "X-Prompt-Prefix: " + prefix + "\r\nContent-Length: 600\r\n\r\n" + "p".repeat(600)).getBytes());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.head(in);
            if (head == null) throw new IOException("closed without an answer");
            result.status = head.status();
            if (result.status != 200) {
                Http.body(in, head, true);
                result.end = head.text().trim();
                return result;
            }
            String line;
            while (!(line = required(Http.line(in))).equals("0")) {
                int size = Integer.parseInt(line, 16);
                String text = new String(in.readNBytes(size));
                for (String part : text.split("\n")) {
                    if (part.startsWith("id:")) result.events++;
                }
                required(Http.line(in));
            }
            result.isComplete = true;
            result.end = "ended as complete";
        } catch (IOException failed) {
            result.end = "broken off: " + failed.getMessage();
        }
        return result;
    }

    private static String required(String line) throws IOException {
        if (line == null) throw new IOException("closed within the answer");
        return line;
    }
}
