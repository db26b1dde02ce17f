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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment: three controllers as processes of the deploy file, the state service, the
 * cloud, machines and users. A case extends it.
 */
abstract class Case {
    static final int DONE = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Site site;
    final List<String> members = List.of("wardbox-0", "wardbox-1", "wardbox-2");
    final List<String> teams;
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

    Case(Site site, Path folder) throws IOException {
        this.site = site;
        teams = site.teams;
        record = new Record(folder.resolve("record.txt"));
        rules = new Rules(record, site.cancelS, site.limits());
        for (int i = 0; i < members.size(); i++) {
            apis.add(freeAddress());
            peers.add(freeAddress());
        }
        state = new StateService(site.rps, site.writeRps);
        cloud = new Cloud(site, record, box -> new Worker(this, box));
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

    /** Makes ordinary machines that are up from the start, in the zones in turn. */
    void startMachines(String type, int count) throws IOException {
        for (int i = 0; i < count; i++)
            workers.add(cloud.rent(type, site.zones.get(i % site.zones.size()), false));
    }

    private String config(int i) {
        StringBuilder out = new StringBuilder();
        out.append("member = \"" + members.get(i) + "\"\n");
        out.append("site = \"" + site.controllerZones.get(i) + "\"\n");
        out.append("api_addr = \"" + apis.get(i) + "\"\npeer_bind = \"" + peers.get(i) + "\"\n\n");
        for (int j = 0; j < members.size(); j++)
            if (j != i)
                out.append(
                    "[[siblings]]\nmember = \"" + members.get(j) + "\"\nsite = \""
                        + site.controllerZones.get(j) + "\"\naddr = \"" + peerAddress(i, j)
                        + "\"\n\n");
        out.append("[services]\ncloud = \"" + cloud.address() + "\"\nstate = \"");
        out.append(stateAddress(i) + "\"\n\n[facts]\nnodes = 3\nzones = [");
        out.append(site.zones.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(", ")));
        out.append("]\nclock_error_ms = " + site.clockErrorMs + "\n\n");
        for (String team : teams)
            out.append(
                "[[facts.teams]]\nname = \"" + team + "\"\ncpus = " + site.cpus
                    + "\ncpus_max = " + site.cpusMax + "\ngpus = 0.0\ngpus_max = 0.0\n\n");
        out.append(site.objectives);
        out.append("[facts.workers]\nreport_s = " + site.reportS + "\nlease_s = " + site.leaseS);
        out.append("\ngang_wait_s = " + site.gangWaitS + "\ngang_peer_s = " + site.gangPeerS);
        out.append("\ncancel_s = " + site.cancelS + "\n\n[facts.state]\nrps = " + site.rps);
        out.append("\nwrite_rps = " + site.writeRps + "\nvalue_kb = " + site.valueKb);
        out.append("\ntxn_ops = " + site.txnOps + "\n\n[facts.cloud]\nrps = " + site.cloudRps);
        out.append("\nlist_lag_s = " + site.listLagS + "\n\n[facts.limits]\ncpu = " + site.cpu);
        out.append("\nram_mb = 268.0\nfd_limit = " + site.fdLimit + "\n");
        return out.toString();
    }

    /** The address at which a controller finds the state service. */
    String stateAddress(int controller) {
        return state.address();
    }

    /** The address at which a controller finds another one. */
    String peerAddress(int from, int to) {
        return peers.get(to);
    }

    /** The file with the log of a controller. */
    Path log(int controller) {
        return directory.resolve(members.get(controller) + ".log");
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
        File log = log(i).toFile();
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

    /** A batch job of szalas-booking: 8 CPUs and 14 GB a task, saves every 20 s. */
    Map<String, Object> slotfill(String id, String team, int pieces, double runS) {
        Map<String, Object> spec = batch(id, "slotfill", team, "normal", pieces, 8, 14, 0.5, runS);
        spec.put("savepoint_s", 20.0);
        spec.put("dump_s", 2.0);
        spec.put("due_s", 2 * runS + 80);
        return spec;
    }

    /** A batch job of cegkapu-register: 32 CPUs and 72 GB a task, saves every 15 s. */
    Map<String, Object> dailycheck(String id, String team, int pieces, double runS) {
        Map<String, Object> spec =
            batch(id, "dailycheck", team, "normal", pieces, 32, 72, 4.0, runS);
        spec.put("savepoint_s", 15.0);
        spec.put("dump_s", 4.0);
        return spec;
    }

    private Map<String, Object> batch(
        String id, String jobclass, String team, String urgency, int pieces, double cores,
        double memGb, double pullGb, double runS) {
        runTimes.put(id, runS);
        return Json.map(
            "name_id", id, "jobclass", jobclass, "owner", team, "shape", "batch",
            "urgency", urgency, "pieces", pieces, "cores", cores, "gpus", 0.0, "mem_gb", memGb,
            "bundle", "img-00", "pull_gb", pullGb, "boxkinds", null, "ward", null,
            "same_place", false, "scatter", false, "loaners", true, "guess_s", runS,
            "savepoint_s", 0.0, "dump_s", 0.0, "due_s", null);
    }

    double runTime(String job) {
        return runTimes.get(job);
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
    static void main(Case case_) {
        Runtime.getRuntime().addShutdownHook(new Thread(case_::end));
        Thread watchdog = new Thread(() -> {
            sleep(115_000);
            case_.record.log("the case takes too long");
            System.exit(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = COULD_NOT_RUN;
        try {
            code = case_.run();
            case_.rules.check();
            if (!case_.rules.broken.isEmpty()) code = BROKEN;
        } catch (Exception e) {
            case_.record.log("failed: %s", e);
        }
        case_.record.log("exit code %d, rules broken: %s", code, case_.rules.broken);
        System.exit(code);
    }
}
