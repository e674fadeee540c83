import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a case, with seconds since its start. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
