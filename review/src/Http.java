import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {
    /** A request or a response; {@code first} is its first line, header names are in lower case. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        long bodyLength;

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ")[0];
        }

        String uri() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {
    }

    /** Reads one line without its end; null at the end of the stream before any byte. */
    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') return text.toString();
            if (next != '\r') text.append((char) next);
        }
        if (text.length() == 0) return null;
        throw new IOException("the channel ended within a line");
    }

    /** Reads the head of a message; null when the channel ends before it. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        String header;
        while (!(header = required(line(in))).isEmpty()) {
            int colon = header.indexOf(':');
            if (colon < 0) throw new IOException("not a header: " + header);
            message.headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body of {@code message}; the bytes are kept only if {@code keep}. */
    static void body(InputStream in, Message message, boolean keep) throws IOException {
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            int size;
            while ((size = Integer.parseInt(required(line(in)).split(";")[0].trim(), 16)) > 0) {
                copy(in, size, keep ? kept : null);
                message.bodyLength += size;
                required(line(in));
            }
            while (!required(line(in)).isEmpty()) continue;
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            copy(in, length, keep ? kept : null);
            message.bodyLength = length;
        }
        message.body = kept.toByteArray();
    }

    private static String required(String line) throws IOException {
        if (line == null) throw new IOException("the channel ended within a message");
        return line;
    }

    private static void copy(InputStream in, int length, ByteArrayOutputStream out) throws IOException {
        byte[] buffer = new byte[Math.min(65536, Math.max(1, length))];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new IOException("the channel ended within a body");
            if (out != null) out.write(buffer, 0, count);
            left -= count;
        }
    }
}
