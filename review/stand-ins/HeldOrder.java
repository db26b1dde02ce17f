package standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * An operator asks a controller that follows to start a drain, and the network between it and the
 * leader is interrupted while the order is on its way. The command line says that nothing was
 * carried out, and the drain starts when the network is back.
 */
final class HeldOrder extends Case {
    private static final String DRAIN = "firmware-7";
    private static final String LISTENS = "listens for operators";
    private final Map<Integer, Link> links = new HashMap<>();

    private HeldOrder(Path folder) throws Exception {
        super(Site.szalasBooking(), folder);
    }

    public static void main(String[] args) throws Exception {
        main(new HeldOrder(Path.of(args[0])));
    }

    /** The first controller reaches the others over links that can be interrupted. */
    @Override
    String peerAddress(int from, int to) {
        if (from != 0) return super.peerAddress(from, to);
        return links.computeIfAbsent(to, k -> {
            try {
                return new Link(super.peerAddress(from, to), record);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).address();
    }

    @Override
    int run() throws Exception {
        startMachines("rackmid", 8);
        // deploy/drain.toml fixes the operators' port; the first controller takes it, twice.
        start(0);
        if (!await("the first controller has the operators' port", 15, () -> listens(1)))
            return COULD_NOT_RUN;
        if (!await("the first controller leads", 15, () -> leader() == 0)) return COULD_NOT_RUN;
        start(1);
        start(2);
        sleep(6000);
        kill(0);
        start(0);
        if (!await("the first controller has the operators' port again", 15, () -> listens(2)))
            return COULD_NOT_RUN;
        if (!await("another controller leads", 25, () -> leader() > 0)) return COULD_NOT_RUN;
        // Work that keeps the machines.
        if (submit(slotfill("job-000001", teams.get(0), 8, 110)) >= 300) return COULD_NOT_RUN;
        if (submit(slotfill("job-000002", teams.get(1), 8, 110)) >= 300) return COULD_NOT_RUN;
        if (!await("all tasks run", 30, () -> rules.starts >= 16)) return COULD_NOT_RUN;
        sleep(3000);
        int leader = leader();
        if (leader <= 0) return COULD_NOT_RUN;
        Link link = links.get(leader);
        if (trouble) link.interruptAt("/operate");
        Process command =
            new ProcessBuilder(
                    "java", "-jar", "target/wardmux.jar", "drain", "start", "--id", DRAIN,
                    "--type", "rackmid", "--zone", site.zones.get(0))
                .redirectErrorStream(true)
                .start();
        record.log("operator: wardmux drain start --id %s", DRAIN);
        String text = new String(command.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (!command.waitFor(30, TimeUnit.SECONDS)) return COULD_NOT_RUN;
        int code = command.exitValue();
        record.log("the command line ends with exit code %d: %s", code, text.trim());
        boolean before = state.value("d/" + DRAIN) != null;
        if (trouble && !link.isInterrupted()) return COULD_NOT_RUN;
        if (trouble) {
            sleep(1000);
            link.restore();
        }
        sleep(4000);
        boolean after = state.value("d/" + DRAIN) != null;
        record.log("the drain is stored: %s before, %s after", before, after);
        Process status =
            new ProcessBuilder("java", "-jar", "target/wardmux.jar", "drain", "status", DRAIN)
                .redirectErrorStream(true)
                .start();
        String shown = new String(status.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        record.log("status ends with exit code %d: %s", status.waitFor(), shown.trim());
        boolean saysNothing = code == 3 && text.contains("nothing was carried out");
        if (!trouble && (code != 0 || !after)) return COULD_NOT_RUN;
        if (saysNothing && after)
            rules.report("exit code 3", "the line says that nothing was carried out");
        return DONE;
    }

    /** Whether the first controller has said this many times that it has the operators' port. */
    private boolean listens(int times) {
        try {
            List<String> lines = Files.readAllLines(log(0));
            return lines.stream().filter(l -> l.contains(LISTENS + " on")).count() >= times;
        } catch (IOException e) {
            return false;
        }
    }
}
