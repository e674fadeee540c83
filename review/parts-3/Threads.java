import java.io.IOException;
import java.net.Socket;

/** Starts daemon threads, which end quietly when their sockets are closed. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // A socket was closed, or the case has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Closes a socket so that the other side sees a reset. */
    static void closeHard(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private Threads() {}
}
