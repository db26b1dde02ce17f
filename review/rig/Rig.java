import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: real controllers as processes, with the command of the deploy
 * file, and stand-ins of the state service, the cloud and the workers. It records what happens
 * and checks the rules that workers and users can see.
 */
final class Rig implements AutoCloseable {
    /** A case cannot run: exit code 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    private static final int BROKEN = 11;
    static final String[] SITES = {"pest-east", "pest-west", "gyor-north"};
    final List<String> nodes = List.of("wardbox-0", "wardbox-1", "wardbox-2");
    final double reportS = 2.5;
    final double leaseS = 16;
    final double cancelS = 36;
    final Path directory;
    final Store store;
    final Cloud cloud;
    volatile Worker.Network network = new Worker.Network() {};
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final Map<String, Integer> apiPorts = new HashMap<>();
    private final Map<String, Integer> peerPorts = new HashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Object>> specs = new ConcurrentHashMap<>();
    private final Map<String, Double> cancelledAt = new ConcurrentHashMap<>();
    private final Map<String, Map<String, String>> onMachine = new HashMap<>();
    private final Set<String> results = ConcurrentHashMap.newKeySet();
    private final List<String> broken = new ArrayList<>();
    private final Set<String> late = new HashSet<>();
    private final Map<String, Integer> storePorts = new HashMap<>();
    private final int cloudPort;
    /** The section `facts.state` in the settings of the controllers that are started from now. */
    volatile String stateSettings =
            "rps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 48\n";
    /** How long a task runs; a case sets it. */
    volatile java.util.function.ToDoubleFunction<String> runTimes = piece -> 600;

    Rig(Path recordFile, List<Object> types) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        directory = Files.createTempDirectory("wardmux-review");
        store = new Store(150, 60, 16, 48);
        cloud = new Cloud(this, types, 6);
        cloudPort = Web.serve(cloud::handle);
        for (String node : nodes) {
            apiPorts.put(node, Web.freePort());
            peerPorts.put(node, Web.freePort());
            storePorts.put(node, Web.serve((m, path, body) -> store.handle(node, m, path, body)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Web.run(
                () -> {
                    while (true) {
                        checkCancelled();
                        sleep(0.05);
                    }
                });
    }

    static List<Object> rackmid() {
        return new ArrayList<>(
                List.of(
                        Json.map(
                                "label", "rackmid", "cores", 16.0, "gpus", 0.0, "mem_gb", 64.0,
                                "local_gb", 100.0, "pull_gb_per_s", 1.0, "hourly", 0.95,
                                "spot_price", 0.4, "boot_s", 50.0, "wards",
                                List.of("gyor-north", "pest-east", "pest-west"))));
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void record(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now());
        out.println(line + String.format(Locale.ROOT, format, values));
    }

    String apiOf(String node) {
        return Web.HOST + ":" + apiPorts.get(node);
    }

    // Controllers.

    void start(String node) throws IOException {
        Path config = directory.resolve(node + ".toml");
        Files.writeString(config, settings(node));
        List<String> command = new ArrayList<>();
        String run =
                Files.readAllLines(Path.of("deploy/service.toml")).stream()
                        .filter(line -> line.startsWith("run"))
                        .findFirst()
                        .orElseThrow(() -> new CannotRun("deploy/service.toml has no run"));
        String text = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        command.addAll(Arrays.asList(text.split(" +")));
        command.add(config.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = directory.resolve(node + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, builder.start());
        record("start %s, facts.state: %s", node, stateSettings.replace('\n', ' '));
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    /** Kills a controller without a signal that it could handle. */
    void kill(String node) throws InterruptedException {
        record("kill  %s", node);
        Process process = processes.get(node);
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    String logOf(String node) throws IOException {
        return Files.readString(directory.resolve(node + ".log"));
    }

    /** The member that holds the leader key; null if there is none. */
    String leader() {
        Object value = store.value("leader");
        return value == null ? null : (String) Json.map(value).get("member");
    }

    private String settings(String node) {
        StringBuilder text = new StringBuilder();
        int index = nodes.indexOf(node);
        text.append("member = \"" + node + "\"\nsite = \"" + SITES[index] + "\"\n");
        text.append("api_addr = \"" + apiOf(node) + "\"\n");
        text.append("peer_bind = \"" + Web.HOST + ":" + peerPorts.get(node) + "\"\n\n");
        for (String other : nodes) {
            if (other.equals(node)) continue;
            text.append("[[siblings]]\nmember = \"" + other + "\"\nsite = \"");
            text.append(SITES[nodes.indexOf(other)] + "\"\naddr = \"" + Web.HOST + ":");
            text.append(peerPorts.get(other) + "\"\n\n");
        }
        text.append("[services]\ncloud = \"" + Web.HOST + ":" + cloudPort + "\"\n");
        text.append("state = \"" + Web.HOST + ":" + storePorts.get(node) + "\"\n\n");
        text.append("[facts]\nnodes = 3\n");
        text.append("zones = [\"gyor-north\", \"pest-east\", \"pest-west\"]\n");
        text.append("clock_error_ms = 250.0\n\n");
        for (int team = 0; team < 10; team++) {
            text.append("[[facts.teams]]\nname = \"routeplan-0" + team + "\"\ncpus = 40.0\n");
            text.append("cpus_max = 96.0\ngpus = 0.0\ngpus_max = 0.0\n\n");
        }
        text.append("[facts.workers]\nreport_s = 2.5\nlease_s = 16.0\ngang_wait_s = 35.0\n");
        text.append("gang_peer_s = 6.0\ncancel_s = 36.0\n\n[facts.state]\n" + stateSettings);
        text.append("\n[facts.cloud]\nrps = 6.0\nlist_lag_s = 6.0\n\n[facts.limits]\n");
        text.append("cpu = 0.255\nram_mb = 268.0\nfd_limit = 1800\n");
        return text.toString();
    }

    // Users.

    static Map<String, Object> batch(String id, int pieces, double cores) {
        return Json.map(
                "name_id", id, "jobclass", "slotfill", "owner", "routeplan-00", "shape", "batch",
                "urgency", "normal", "pieces", pieces, "cores", cores, "gpus", 0.0, "mem_gb",
                0.25, "bundle", "img-07", "pull_gb", 0.1, "boxkinds", null, "ward", null,
                "same_place", false, "scatter", false, "loaners", true, "guess_s", 600.0,
                "savepoint_s", 0.0, "dump_s", 0.0, "due_s", null);
    }

    /** Submits a job as a user does, at one node after the other; returns the last answer. */
    Web.Answer submit(Map<String, Object> spec) {
        specs.put((String) spec.get("name_id"), spec);
        return call("POST", "/submissions", Json.write(spec));
    }

    Web.Answer submitAt(String node, Map<String, Object> spec) {
        specs.put((String) spec.get("name_id"), spec);
        return callAt(node, "POST", "/submissions", Json.write(spec));
    }

    Web.Answer abort(String job) {
        Web.Answer answer = call("POST", "/submissions/" + job + "/abort", "");
        if (answer.body().contains("cancelled")) cancelledAt.put(job, now());
        return answer;
    }

    Web.Answer poll(String node, String job) {
        return Web.send("GET", apiOf(node), "/submissions/" + job, null, 2);
    }

    Web.Answer callAt(String node, String method, String path, String body) {
        Web.Answer answer = Web.send(method, apiOf(node), path, body, 5);
        record("user  %s %s at %s: %d %s", method, path, node, answer.status(), answer.body());
        return answer;
    }

    private Web.Answer call(String method, String path, String body) {
        double until = now() + 60;
        for (int i = 0; now() < until; i++) {
            Web.Answer answer = callAt(nodes.get(i % nodes.size()), method, path, body);
            int status = answer.status();
            if (status == 200 || status == 201 || status == 400 || status == 422) return answer;
            sleep(1);
        }
        throw new CannotRun("no answer to " + path + " within 60 s");
    }

    // What the workers ask.

    Map<String, Object> specOf(String piece) {
        return specs.get(piece.substring(0, piece.lastIndexOf('/')));
    }

    String imageOf(String piece) {
        return (String) specOf(piece).get("bundle");
    }

    double runTime(String piece) {
        return runTimes.applyAsDouble(piece);
    }

    boolean isResultKept(String piece) {
        return results.contains(piece);
    }

    void keepResult(String piece) {
        results.add(piece);
    }

    // What is checked.

    synchronized void started(Worker worker, String piece, int attempt) {
        record("task  %s try %d starts on %s", piece, attempt, worker.id);
        Map<String, String> places = onMachine.computeIfAbsent(piece, p -> new LinkedHashMap<>());
        for (String other : places.keySet())
            if (!other.equals(worker.id))
                fault("ran_twice: %s starts on %s while it is on %s", piece, worker.id, other);
        places.put(worker.id, "try " + attempt);
        Double since = cancelledAt.get(piece.substring(0, piece.lastIndexOf('/')));
        if (since != null && now() - since > cancelS)
            fault("ran_cancelled: %s starts on %s %.1f s after the cancellation was confirmed",
                    piece, worker.id, now() - since);
    }

    synchronized void left(Worker worker, String piece, int attempt) {
        record("task  %s try %d is gone from %s", piece, attempt, worker.id);
        Map<String, String> places = onMachine.get(piece);
        if (places != null) places.remove(worker.id);
    }

    private synchronized void checkCancelled() {
        for (Map.Entry<String, Map<String, String>> e : onMachine.entrySet()) {
            if (e.getValue().isEmpty()) continue;
            String piece = e.getKey();
            Double since = cancelledAt.get(piece.substring(0, piece.lastIndexOf('/')));
            if (since != null && now() - since > cancelS && late.add(piece))
                fault("ran_cancelled: %s is on %s %.1f s after the cancellation was confirmed",
                        piece, e.getValue().keySet(), now() - since);
        }
    }

    /** The number of tasks of a job that are on a machine. */
    synchronized int running(String job) {
        int count = 0;
        for (Map.Entry<String, Map<String, String>> e : onMachine.entrySet())
            if (e.getKey().startsWith(job + "/") && !e.getValue().isEmpty()) count++;
        return count;
    }

    /** The machines that a task is on. */
    synchronized Set<String> machinesOf(String piece) {
        return new HashSet<>(onMachine.getOrDefault(piece, Map.of()).keySet());
    }

    synchronized void fault(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        broken.add(text);
        record("BROKEN %s", text);
    }

    synchronized List<String> faults() {
        return new ArrayList<>(broken);
    }

    void await(String what, double seconds, java.util.function.BooleanSupplier condition) {
        double until = now() + seconds;
        while (!condition.getAsBoolean()) {
            if (now() > until) throw new CannotRun("not within " + seconds + " s: " + what);
            sleep(0.05);
        }
        record("seen  %s", what);
    }

    @Override
    public void close() {
        for (Process process : processes.values()) process.destroyForcibly();
        if (System.getenv("KEEP") != null) return;
        File[] files = directory.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        directory.toFile().delete();
    }

    interface Scenario {
        void run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case, and ends the process with the exit code that the case asks for. */
    static void run(String[] arguments, List<Object> types, Scenario scenario) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try {
            Rig rig = new Rig(Path.of(arguments[0]), types);
            rig.record("trouble %s", trouble);
            try {
                scenario.run(rig, trouble);
                code = rig.faults().isEmpty() ? 0 : 1;
            } catch (CannotRun e) {
                code = rig.faults().isEmpty() ? 2 : 1;
                rig.record("cannot run: %s", e.getMessage());
            }
            rig.record("exit code %d, %d faults", code, rig.faults().size());
            rig.close();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.out.println("exit code " + code);
        // Java itself ends with 1 where it fails, so case.sh turns this code into 1.
        System.exit(code == 1 ? BROKEN : code);
    }
}
