/** Starts threads that end with the process. */
final class Threads {
    /** An action that may fail; a failure ends only its thread. */
    interface Action {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (Exception ended) {
                // A channel that breaks off ends the thread that serves it.
                Thread.currentThread().interrupt();
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
