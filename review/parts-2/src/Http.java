import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages. Names of headers are in lower case. */
final class Http {
    private Http() {}

    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns the next line without its end, or null when the channel has ended before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) return null;
        while (b != '\n') {
            if (b < 0) throw new EOFException("inside a line");
            if (b != '\r') out.write(b);
            b = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads start line and headers; null when the channel has ended. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) throw new EOFException("inside a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads a message with its body, by length or chunks; a response without either ends with its channel. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message head = head(in);
        if (head == null) return null;
        byte[] body;
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) out.write(chunk);
            body = out.toByteArray();
        } else if (head.header("content-length") != null) {
            int length = Integer.parseInt(head.header("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) throw new EOFException("inside a body");
        } else {
            body = isResponse ? in.readAllBytes() : new byte[0];
        }
        return new Message(head.startLine(), head.headers(), body);
    }

    /** Reads the next chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("before a chunk");
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("inside a chunk");
        if (line(in) == null) throw new EOFException("after a chunk");
        return bytes;
    }

    static void write(OutputStream out, String startLine, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) map.put(namesAndValues[i], namesAndValues[i + 1]);
        return map;
    }
}
