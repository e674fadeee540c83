import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what happens to a file, with the time since the start. */
final class Record {
    /** Exit status of a case whose rule was broken; an uncaught exception ends with 1. */
    static final int BROKEN = 10;

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void write(String line) {
        out.printf("%9.3f s  %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }
}
