package standins;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment like szalas-booking: three controllers as processes of the deploy file, the
 * state service, the cloud, eight machines that are up at the start, and users. A case extends it.
 */
abstract class Case {
    static final int DONE = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final double reportS = 2.5;
    final double leaseS = 16.0;
    final double cancelS = 36.0;
    final List<String> zones = List.of("pest-east", "pest-west", "gyor-north");
    final List<String> members = List.of("wardbox-0", "wardbox-1", "wardbox-2");
    final List<String> teams =
        java.util.stream.IntStream.range(0, 10)
            .mapToObj(i -> String.format("routeplan-%02d", i))
            .collect(Collectors.toList());
    final List<String> apis = new ArrayList<>();
    private final List<String> peers = new ArrayList<>();
    final Process[] processes = new Process[members.size()];
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final Rules rules;
    final StateService state;
    final Cloud cloud;
    final List<Worker> workers = new ArrayList<>();
    private final Map<String, Double> runTimes = new ConcurrentHashMap<>();
    private final Path directory = Files.createTempDirectory("wardmux-review");

    Case(Path folder) throws IOException {
        record = new Record(folder.resolve("record.txt"));
        Map<String, Double> limits = new HashMap<>();
        for (String team : teams) limits.put(team, 96.0);
        rules = new Rules(record, cancelS, limits);
        for (int i = 0; i < members.size(); i++) {
            apis.add(freeAddress());
            peers.add(freeAddress());
        }
        state = new StateService(150, 60);
        cloud =
            new Cloud(zones, 7, 6.0, record, box -> new Worker(this, box.id, box.ward, box.loaners));
        record.log("TROUBLE is %s", trouble ? "on" : "0");
    }

    /** Runs the case and returns its exit code. */
    abstract int run() throws Exception;

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    /** Makes eight ordinary machines that are up: three, three and two in the zones. */
    void startMachines() throws IOException {
        for (int i = 0; i < 8; i++) workers.add(cloud.rent(zones.get(i % 3), false));
    }

    private String config(int i) {
        StringBuilder out = new StringBuilder();
        out.append("member = \"" + members.get(i) + "\"\nsite = \"" + zones.get(i) + "\"\n");
        out.append("api_addr = \"" + apis.get(i) + "\"\npeer_bind = \"" + peers.get(i) + "\"\n\n");
        for (int j = 0; j < members.size(); j++)
            if (j != i)
                out.append(
                    "[[siblings]]\nmember = \"" + members.get(j) + "\"\nsite = \"" + zones.get(j)
                        + "\"\naddr = \"" + peers.get(j) + "\"\n\n");
        out.append("[services]\ncloud = \"" + cloud.address() + "\"\nstate = \"");
        out.append(stateAddress(i) + "\"\n\n[facts]\nnodes = 3\nzones = [");
        out.append(zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(", ")));
        out.append("]\nclock_error_ms = 250.0\n\n");
        for (String team : teams)
            out.append(
                "[[facts.teams]]\nname = \"" + team
                    + "\"\ncpus = 40.0\ncpus_max = 96.0\ngpus = 0.0\ngpus_max = 0.0\n\n");
        out.append("[facts.workers]\nreport_s = 2.5\nlease_s = 16.0\ngang_wait_s = 35.0\n");
        out.append("gang_peer_s = 6.0\ncancel_s = 36.0\n\n[facts.state]\nrps = 150.0\n");
        out.append("write_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 48\n\n[facts.cloud]\nrps = 6.0\n");
        out.append("list_lag_s = 6.0\n\n[facts.limits]\ncpu = 0.255\nram_mb = 268.0\n");
        out.append("fd_limit = 1800\n");
        return out.toString();
    }

    /** The address at which a controller finds the state service. */
    String stateAddress(int controller) {
        return state.address();
    }

    /** Starts the process of a controller with the command of the deploy file. */
    void start(int i) throws IOException {
        String run =
            Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(l -> l.startsWith("run"))
                .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        Path file = directory.resolve(members.get(i) + ".toml");
        Files.writeString(file, config(i));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        File log = directory.resolve(members.get(i) + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        processes[i] = builder.start();
        record.log("%s starts", members.get(i));
    }

    void startControllers() throws IOException {
        for (int i = 0; i < members.size(); i++) start(i);
    }

    void kill(int i) throws InterruptedException {
        if (processes[i] == null) return;
        processes[i].destroyForcibly().waitFor();
        record.log("%s is killed", members.get(i));
    }

    /** The number of the controller that holds the leader key, or -1. */
    int leader() {
        Object value = state.value("leader");
        return value == null ? -1 : members.indexOf((String) ((Map<?, ?>) value).get("member"));
    }

    boolean await(String what, double seconds, java.util.function.BooleanSupplier condition) {
        double end = record.now() + seconds;
        while (!condition.getAsBoolean()) {
            if (record.now() > end) {
                record.log("not within %.0f s: %s", seconds, what);
                return false;
            }
            sleep(20);
        }
        record.log("reached: %s", what);
        return true;
    }

    /** A batch job like those of slotfill: 8 CPUs and 14 GB a task, saves every 20 s. */
    Map<String, Object> slotfill(String id, String team, int pieces, double runS) {
        Map<String, Object> spec =
            Json.map(
                "name_id", id, "jobclass", "slotfill", "owner", team, "shape", "batch",
                "urgency", "normal", "pieces", pieces, "cores", 8.0, "gpus", 0.0, "mem_gb", 14.0,
                "bundle", "img-00", "pull_gb", 0.5, "boxkinds", null, "ward", null,
                "same_place", false, "scatter", false, "loaners", true, "guess_s", runS,
                "savepoint_s", 20.0, "dump_s", 2.0, "due_s", 2 * runS + 80);
        runTimes.put(id, runS);
        return spec;
    }

    double runTime(String job) {
        return runTimes.get(job);
    }

    void setRunTime(String job, double runS) {
        runTimes.put(job, runS);
    }

    /** Submits a job as a user does, and retries for up to 60 s. Returns the last status. */
    int submit(Map<String, Object> spec) {
        rules.submitted(spec);
        double end = record.now() + 60;
        int last = 0;
        for (int i = 0; record.now() < end; i++) {
            Web.Answer answer =
                Web.call(
                    apis.get(i % apis.size()), "POST", "/submissions", Json.write(spec), 5000);
            last = answer.status;
            record.log("submit %s: %d %s", spec.get("name_id"), answer.status, answer.body);
            if (last == 200 || last == 201 || last == 400 || last == 422) return last;
            sleep(1000);
        }
        return last;
    }

    private void end() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        try {
            cloud.close();
            state.close();
            String keep = System.getenv("KEEP_LOGS");
            if (keep != null)
                for (File f : directory.toFile().listFiles())
                    Files.copy(f.toPath(), Path.of(keep, f.getName()),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path p : files.sorted(Comparator.reverseOrder()).collect(Collectors.toList()))
                    Files.delete(p);
            }
        } catch (IOException e) {
            // nothing more can be done
        }
    }

    /** Runs the case, ends what it started, and ends this process with its exit code. */
    static void main(Case site) {
        Runtime.getRuntime().addShutdownHook(new Thread(site::end));
        Thread watchdog = new Thread(() -> {
            sleep(112_000);
            site.record.log("the case takes too long");
            System.exit(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = COULD_NOT_RUN;
        try {
            code = site.run();
            site.rules.check();
            if (!site.rules.broken.isEmpty()) code = BROKEN;
        } catch (Exception e) {
            site.record.log("failed: %s", e);
        }
        site.record.log("exit code %d, rules broken: %s", code, site.rules.broken);
        System.exit(code);
    }
}
