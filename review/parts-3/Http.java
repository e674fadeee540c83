import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 message, read from a socket. Names of headers are in lower case. */
final class Http {
    String firstLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
        return headers.get(name.toLowerCase());
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the next message; returns null when the connection ends before its first byte. */
    static Http read(BufferedInputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Http message = new Http();
        message.firstLine = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new IOException("the head is not whole");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int length = Integer.parseInt(lineOf(in).split(";")[0].trim(), 16);
                body.write(readFully(in, length));
                lineOf(in);
                if (length == 0) break;
            }
            message.body = body.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = readFully(in, Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    private static String lineOf(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new IOException("the body is not whole");
        return line;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new IOException("the body is not whole");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new IOException("a line is not whole");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
