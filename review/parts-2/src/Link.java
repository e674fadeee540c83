import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The path of one server to the store: a proxy that can be cut for a while. As on a network, what was sent on an open
 * channel during the cut arrives when TCP sends it again after the cut, at intervals that double; a channel that is
 * opened during the cut comes to nothing.
 */
final class Link {
    private static final long FIRST_RETRANSMISSION_MS = 300;
    private final ServerSocket listener;
    private final int storePort;
    private volatile long cutFrom = Long.MAX_VALUE;
    private volatile long cutUntil = Long.MAX_VALUE;

    Link(Store store) throws IOException {
        storePort = store.port();
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Store.daemon("link", this::accept);
    }

    /** Cuts the path from now on for {@code milliseconds}. */
    void cut(long milliseconds) {
        cutUntil = Recorder.now() + milliseconds;
        cutFrom = Recorder.now();
    }

    private boolean isCut(long at) {
        return at >= cutFrom && at < cutUntil;
    }

    /** Opens a channel to the store. */
    Socket connect() throws IOException {
        if (isCut(Recorder.now())) {
            Recorder.sleep(Math.min(1000, cutUntil - Recorder.now()));
            throw new IOException("no connection");
        }
        Socket socket = new Socket("127.0.0.1", listener.getLocalPort());
        socket.setTcpNoDelay(true);
        return socket;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket("127.0.0.1", storePort);
                far.setTcpNoDelay(true);
                near.setTcpNoDelay(true);
                Store.daemon("to the store", () -> pump(near, far, true));
                Store.daemon("from the store", () -> pump(far, near, false));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to, boolean isUp) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                long sentAt = Recorder.now();
                long arrivesAt = sentAt;
                for (long step = FIRST_RETRANSMISSION_MS; isCut(arrivesAt); step *= 2) arrivesAt += step;
                if (arrivesAt > sentAt) {
                    Recorder.sleepUntil(arrivesAt);
                    if (isUp) Recorder.write("what was sent to the store at %d arrives now", sentAt);
                }
                to.getOutputStream().write(buffer, 0, count);
                to.getOutputStream().flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            // One side has closed the channel.
        }
    }
}
