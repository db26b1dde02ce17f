package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void log(String format, Object... args) {
        out.printf("%8.3f %s%n", now(), String.format(format, args));
    }
}
