import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happened to the record of the case, with the milliseconds since the start. */
final class Recorder {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Recorder() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Milliseconds since the start of the case, by the steady clock. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void write(String format, Object... values) {
        out.println(String.format("%8d ", now()) + String.format(format, values));
    }

    static void sleepUntil(long at) {
        sleep(at - now());
    }

    static void sleep(long milliseconds) {
        try {
            if (milliseconds > 0) Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
