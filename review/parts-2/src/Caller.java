import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;

/** A client's attempts: each request has a channel of its own. */
final class Caller {
    private Caller() {}

    /** Sends a request and returns the whole answer, or null when the channel ended without one. */
    static Http.Message call(int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
            return Http.read(socket.getInputStream(), true);
        } catch (IOException e) {
            return null;
        }
    }
}
