import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A machine's worker as PROTOCOL describes it: reports, commands, tokens and its lease. */
final class Worker {
    private static final class Task {
        String piece;
        int attempt;
        String status;
        String cause;
        boolean kept;
        double readyAt;
        double endsAt;
        double savedAt;
        boolean onMachine;
    }

    /** What the network does to a report or a direct command; the default delivers it. */
    interface Network {
        /** False if the report, or its answer, is lost. */
        default boolean deliversReport(Worker worker, String node) {
            return true;
        }

        default boolean deliversAnswer(Worker worker, String node) {
            return true;
        }

        /** Sees a direct command before it is carried out; an answer of its own replaces it. */
        default Web.Answer command(Worker worker, String body) {
            return null;
        }
    }

    final String id;
    final String type;
    final String zone;
    private final double cores;
    private final Rig rig;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Boolean> images = new LinkedHashMap<>();
    final String endpoint;
    volatile boolean gone;
    private long shift = 1;
    private long tick;
    private long baton;
    private double leaseFrom;
    private double lastReportAt;
    private double nextReportAt;
    private double lastBatonChangeAt = -1e9;
    private boolean changed = true;
    private int node;
    private boolean reporting;

    Worker(Rig rig, String id, String type, String zone, double cores) throws Exception {
        this.rig = rig;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.cores = cores;
        endpoint = Web.HOST + ":" + Web.serve(this::serve);
        leaseFrom = rig.now();
        node = ThreadLocalRandom.current().nextInt(rig.nodes.size());
        nextReportAt = rig.now() + ThreadLocalRandom.current().nextDouble(rig.reportS);
        Web.run(
                () -> {
                    while (!gone) {
                        step();
                        Rig.sleep(0.02);
                    }
                });
    }

    private Web.Answer serve(String method, String path, String body) {
        if (gone) return new Web.Answer(0, "");
        if (path.equals("/status")) {
            synchronized (this) {
                return new Web.Answer(200, report());
            }
        }
        if (!path.equals("/do")) return new Web.Answer(404, "{}");
        Web.Answer early = rig.network.command(this, body);
        return early != null ? early : carryOut(body);
    }

    /** Carries out a direct command, as it arrives. */
    synchronized Web.Answer carryOut(String body) {
        Map<String, Object> command = Json.object(body);
        if (command.get("baton") == null || command.get("shift") == null)
            return new Web.Answer(400, "{}");
        long token = Json.integer(command.get("baton"));
        if (token < baton || Json.integer(command.get("shift")) != shift) {
            rig.record("do    %s refused: token %d, own %d", id, token, baton);
            return new Web.Answer(409, report());
        }
        see(token);
        execute(Json.list(command.get("orders")), "do");
        return new Web.Answer(200, report());
    }

    private void see(long token) {
        if (token <= baton) return;
        baton = token;
        if (rig.now() - lastBatonChangeAt > rig.leaseS / 2) {
            lastBatonChangeAt = rig.now();
            changed = true;
        }
    }

    /** The worker's report, with the next tick. */
    private String report() {
        List<Object> pieces = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> piece =
                    Json.map("piece", task.piece, "try", task.attempt, "status", task.status);
            if (task.cause != null) piece.put("cause", task.cause);
            if (task.kept) piece.put("kept", true);
            pieces.add(piece);
        }
        return Json.write(
                Json.map(
                        "box", id, "endpoint", endpoint, "boxkind", type, "ward", zone,
                        "loaners", true, "shift", shift, "tick", ++tick, "baton", baton,
                        "recall_s", null, "pieces", pieces));
    }

    private synchronized void step() {
        double now = rig.now();
        if (gone) return;
        if (now - leaseFrom > rig.leaseS) {
            rig.record("lease %s ends: session %d, %d tasks", id, shift, tasks.size());
            for (Task task : tasks.values()) leave(task);
            tasks.clear();
            shift++;
            leaseFrom = now;
            changed = true;
        }
        for (Task task : tasks.values()) progress(task, now);
        boolean due = now >= nextReportAt || (changed && now - lastReportAt >= 0.5);
        if (due && !reporting) {
            reporting = true;
            changed = false;
            lastReportAt = now;
            nextReportAt = now + rig.reportS * ThreadLocalRandom.current().nextDouble(0.75, 1.25);
            String body = report();
            long session = shift;
            Web.run(() -> send(body, now, session));
        }
    }

    private void progress(Task task, double now) {
        if (task.status.equals("fetching") && now >= task.readyAt) {
            images.put(rig.imageOf(task.piece), true);
            run(task, now);
        }
        if (task.status.equals("running") && now >= task.endsAt) end(task, "done", false);
        if (task.status.equals("saving") && now >= task.savedAt) end(task, "stopped", true);
    }

    private void run(Task task, double now) {
        task.status = "running";
        task.onMachine = true;
        rig.started(this, task.piece, task.attempt);
        task.endsAt = rig.isResultKept(task.piece) ? now : now + rig.runTime(task.piece);
        changed = true;
    }

    private void end(Task task, String cause, boolean kept) {
        if (cause.equals("done")) rig.keepResult(task.piece);
        leave(task);
        task.status = "ended";
        task.cause = cause;
        task.kept = kept;
        changed = true;
    }

    private void leave(Task task) {
        if (task.onMachine) rig.left(this, task.piece, task.attempt);
        task.onMachine = false;
    }

    private void execute(List<Map<String, Object>> orders, String way) {
        for (Map<String, Object> order : orders) {
            String piece = (String) order.get("piece");
            int attempt = (int) Json.integer(order.get("try"));
            String verb = (String) order.get("verb");
            rig.record("%-5s %s %s %s try %d", way, id, verb, piece, attempt);
            Task task = tasks.get(piece + "#" + attempt);
            switch (verb) {
                case "start" -> {
                    if (task == null) start(piece, attempt);
                }
                case "halt" -> {
                    if (task != null) halt(task, Json.number(order.get("letgo_s")));
                }
                case "forget" -> {
                    if (task != null && task.status.equals("ended"))
                        tasks.remove(piece + "#" + attempt);
                }
                default -> {}
            }
        }
    }

    private void start(String piece, int attempt) {
        Task task = new Task();
        task.piece = piece;
        task.attempt = attempt;
        task.status = "ended";
        Map<String, Object> spec = rig.specOf(piece);
        changed = true;
        if (spec == null) task.cause = "unknown";
        else if (tasks.values().stream()
                .anyMatch(t -> t.piece.equals(piece) && !t.status.equals("ended")))
            task.cause = "busy";
        else if (usedCores() + Json.number(spec.get("cores")) > cores + 1e-6) task.cause = "full";
        else {
            task.status = "fetching";
            boolean cached = images.containsKey(rig.imageOf(piece));
            task.readyAt = rig.now() + (cached ? 0 : Json.number(spec.get("pull_gb")));
        }
        tasks.put(piece + "#" + attempt, task);
        progress(task, rig.now());
    }

    synchronized double usedCores() {
        return tasks.values().stream()
                .filter(t -> !t.status.equals("ended"))
                .mapToDouble(t -> Json.number(rig.specOf(t.piece).get("cores")))
                .sum();
    }

    private void halt(Task task, double grace) {
        if (task.status.equals("ended")) return;
        Map<String, Object> spec = rig.specOf(task.piece);
        double dump = Json.number(spec.get("dump_s"));
        boolean saves = Json.number(spec.get("savepoint_s")) > 0;
        if (task.status.equals("running") && saves && grace >= dump) {
            task.status = "saving";
            task.savedAt = rig.now() + dump;
            changed = true;
        } else if (!task.status.equals("saving") || grace == 0) end(task, "stopped", false);
    }

    private void send(String body, double sentAt, long session) {
        String name = rig.nodes.get(node % rig.nodes.size());
        Web.Answer answer = new Web.Answer(0, "");
        if (rig.network.deliversReport(this, name)) {
            answer = Web.send("POST", rig.apiOf(name), "/hello", body, 4);
            if (!rig.network.deliversAnswer(this, name)) answer = new Web.Answer(0, "");
        }
        synchronized (this) {
            handle(answer, name, sentAt, session);
        }
    }

    private void handle(Web.Answer answer, String name, double sentAt, long session) {
        reporting = false;
        if (gone) return;
        if (answer.status() == 200) {
            Map<String, Object> response = Json.object(answer.body());
            Object token = response.get("baton");
            if (token == null || Json.integer(token) < baton || session != shift) return;
            see(Json.integer(token));
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(Json.list(response.get("orders")), "hello");
            return;
        }
        if (answer.status() == 421 && answer.body().contains("steward")) {
            String steward = (String) Json.object(answer.body()).get("steward");
            if (rig.nodes.contains(steward) && !steward.equals(name)) {
                node = rig.nodes.indexOf(steward);
                nextReportAt = rig.now();
                return;
            }
        }
        node++;
        nextReportAt = rig.now() + 1;
        lastReportAt = rig.now() + 0.5;
    }

    /** The machine is gone, with all that is on it. */
    synchronized void end() {
        gone = true;
        for (Task task : tasks.values()) leave(task);
        tasks.clear();
    }

    /** For the record: the session and the number of tasks that have not ended. */
    synchronized String summary() {
        long open = tasks.values().stream().filter(t -> !t.status.equals("ended")).count();
        return id + " session " + shift + " token " + baton + " listed " + tasks.size()
                + " open " + open;
    }

    synchronized boolean isEmpty() {
        return tasks.values().stream().allMatch(t -> t.status.equals("ended"));
    }

    synchronized long token() {
        return baton;
    }
}
