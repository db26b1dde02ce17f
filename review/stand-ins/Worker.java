package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker of PROTOCOL-wardmux.md. While its machine hangs it executes nothing; requests that reach
 * it wait until it goes on.
 */
final class Worker {
    private static final class Task {
        String piece;
        long attempt;
        String status = "fetching";
        String cause;
        boolean kept;
        double left;
        double saveLeft;

        String job() {
            return piece.split("/")[0];
        }
    }

    /** Tasks that completed; a task that is started again ends as soon as it has its image. */
    private static final Set<String> results = ConcurrentHashMap.newKeySet();

    final String id;
    final String ward;
    final boolean loaners;
    private final Site.Type type;
    private final Case deployment;
    private final Web web;
    private final Random random = new Random();
    private final Map<String, Task> tasks = new LinkedHashMap<>();

    /** For each image that is here or under way, the gigabytes that are missing. */
    private final Map<String, Double> images = new HashMap<>();

    private long shift = 1;
    private long tick;
    private long baton;
    private double leaseSince;
    private double nextReport;
    private double lastReport = -1;
    private boolean changed = true;
    private double tokenChangeAt = -1000;
    private int node;
    private volatile boolean hung;
    private volatile boolean gone;
    private double steppedAt;

    Worker(Case deployment, Cloud.Box box) throws IOException {
        this.deployment = deployment;
        id = box.id;
        ward = box.ward;
        loaners = box.loaners;
        type = box.type;
        node = random.nextInt(deployment.apis.size());
        leaseSince = deployment.record.now();
        steppedAt = leaseSince;
        web = new Web(this::handle);
        start(this::reportLoop);
        start(this::stepLoop);
    }

    private static void start(Runnable run) {
        Thread t = new Thread(run);
        t.setDaemon(true);
        t.start();
    }

    String endpoint() {
        return web.address();
    }

    synchronized void hang() {
        hung = true;
        deployment.record.log("%s hangs with %s", id, tasks.keySet());
    }

    synchronized void resume() {
        hung = false;
        steppedAt = deployment.record.now();
        deployment.record.log("%s goes on", id);
        notifyAll();
    }

    /** The machine stops with all that is on it. */
    void die() {
        gone("died");
    }

    synchronized void gone(String why) {
        if (gone) return;
        gone = true;
        for (Task task : tasks.values()) leave(task, "machine " + why);
        tasks.clear();
        try {
            web.close();
        } catch (IOException e) {
            // closed
        }
        notifyAll();
    }

    synchronized boolean runs(String job) {
        return tasks.values().stream()
            .anyMatch(t -> t.job().equals(job) && t.status.equals("running"));
    }

    private void leave(Task task, String why) {
        deployment.rules.left(task.piece, task.attempt, id, why);
    }

    private void end(Task task, String cause) {
        leave(task, cause);
        task.status = "ended";
        task.cause = cause;
        changed = true;
    }

    private void stepLoop() {
        while (!gone) {
            Case.sleep(50);
            synchronized (this) {
                if (!hung && !gone) step();
            }
        }
    }

    private void step() {
        double now = deployment.record.now();
        double elapsed = now - steppedAt;
        steppedAt = now;
        if (now - leaseSince > deployment.site.leaseS) {
            deployment.record.log("%s: lease is over, session %d begins", id, shift + 1);
            for (Task task : tasks.values()) leave(task, "killed, lease over");
            tasks.clear();
            shift++;
            leaseSince = now;
            changed = true;
        }
        fetch(elapsed);
        for (Task task : new ArrayList<>(tasks.values())) {
            Map<String, Object> spec = deployment.rules.spec(task.job());
            if (task.status.equals("fetching") && images.get(spec.get("bundle")) <= 0) {
                deployment.rules.started(task.piece, task.attempt, id);
                task.status = "running";
                task.left = results.contains(task.piece) ? 0 : deployment.runTime(task.job());
                changed = true;
            }
            if (task.status.equals("running")) {
                task.left -= elapsed;
                if (task.left <= 0) {
                    results.add(task.piece);
                    end(task, "done");
                }
            } else if (task.status.equals("saving")) {
                task.saveLeft -= elapsed;
                if (task.saveLeft <= 0) {
                    task.kept = true;
                    end(task, "stopped");
                }
            }
        }
    }

    private void fetch(double elapsed) {
        List<String> wanted = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (!task.status.equals("fetching")) continue;
            Map<String, Object> spec = deployment.rules.spec(task.job());
            String bundle = (String) spec.get("bundle");
            images.putIfAbsent(bundle, (Double) spec.get("pull_gb"));
            if (images.get(bundle) > 0 && !wanted.contains(bundle)) wanted.add(bundle);
        }
        for (String bundle : wanted)
            images.merge(bundle, -elapsed * type.fetchGbPerS / wanted.size(), Double::sum);
        images.entrySet().removeIf(e -> e.getValue() > 0 && !wanted.contains(e.getKey()));
    }

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
                "box", id, "endpoint", endpoint(), "boxkind", type.label, "ward", ward,
                "loaners", loaners, "shift", shift, "tick", ++tick, "baton", baton,
                "recall_s", null, "pieces", pieces));
    }

    private void awaitGoing() throws InterruptedException {
        while (hung && !gone) wait(100);
    }

    private void reportLoop() {
        while (!gone) {
            Case.sleep(50);
            String body;
            double sentAt;
            long sentIn;
            int to;
            synchronized (this) {
                double now = deployment.record.now();
                boolean due = now >= nextReport || (changed && now - lastReport >= 0.5);
                if (hung || gone || !due) continue;
                changed = false;
                body = report();
                sentAt = now;
                lastReport = now;
                nextReport = now + deployment.site.reportS * (0.75 + 0.5 * random.nextDouble());
                sentIn = shift;
                to = node;
            }
            Web.Answer answer = Web.call(deployment.apis.get(to), "POST", "/hello", body, 4000);
            synchronized (this) {
                try {
                    awaitGoing();
                } catch (InterruptedException e) {
                    return;
                }
                if (gone) return;
                double now = deployment.record.now();
                boolean late = now - sentAt > 4;
                if (answer.status == 200 && !late) {
                    if (sentIn == shift && now - leaseSince <= deployment.site.leaseS)
                        accept(Json.object(answer.body), sentAt);
                } else if (answer.status == 421 && !late && redirect(answer.body)) {
                    nextReport = now + 0.5 * random.nextDouble();
                } else {
                    node = (to + 1) % deployment.apis.size();
                    nextReport = now + 1;
                    changed = false;
                }
            }
        }
    }

    private boolean redirect(String body) {
        if (body.isEmpty()) return false;
        int target = deployment.members.indexOf((String) Json.object(body).get("steward"));
        if (target < 0 || target == node) return false;
        node = target;
        return true;
    }

    private void accept(Map<String, Object> response, double sentAt) {
        Object token = response.get("baton");
        if (token == null || (Long) token < baton) return;
        adopt((Long) token);
        leaseSince = sentAt;
        for (Object order : (List<?>) response.get("orders")) execute((Map<?, ?>) order);
    }

    private void adopt(long token) {
        if (token <= baton) return;
        baton = token;
        double now = deployment.record.now();
        if (now - tokenChangeAt < deployment.site.leaseS / 2) return;
        tokenChangeAt = now;
        changed = true;
    }

    private void execute(Map<?, ?> order) {
        String piece = (String) order.get("piece");
        long attempt = (Long) order.get("try");
        String key = piece + "#" + attempt;
        Task task = tasks.get(key);
        switch ((String) order.get("verb")) {
            case "start":
                if (task == null) startTask(key, piece, attempt);
                break;
            case "halt":
                if (task != null) halt(task, ((Number) order.get("letgo_s")).doubleValue());
                break;
            default:
                if (task != null && task.status.equals("ended")) {
                    tasks.remove(key);
                    changed = true;
                }
        }
    }

    private void startTask(String key, String piece, long attempt) {
        Task task = new Task();
        task.piece = piece;
        task.attempt = attempt;
        Map<String, Object> spec = deployment.rules.spec(task.job());
        double used = 0;
        boolean busy = false;
        for (Task other : tasks.values()) {
            if (other.status.equals("ended")) continue;
            used += (Double) deployment.rules.spec(other.job()).get("cores");
            busy |= other.piece.equals(piece);
        }
        deployment.record.log("%s is told to start %s try %d", id, piece, attempt);
        tasks.put(key, task);
        changed = true;
        if (spec == null) refuse(task, "unknown");
        else if (busy) refuse(task, "busy");
        else if (used + (Double) spec.get("cores") > type.cores + 1e-6) refuse(task, "full");
    }

    private void refuse(Task task, String cause) {
        task.status = "ended";
        task.cause = cause;
    }

    private void halt(Task task, double letGo) {
        if (task.status.equals("ended")) return;
        if (task.status.equals("saving") && letGo > 0) return;
        Map<String, Object> spec = deployment.rules.spec(task.job());
        double save = (Double) spec.get("dump_s");
        boolean saves = task.status.equals("running") && (Double) spec.get("savepoint_s") > 0;
        if (saves && letGo >= save) {
            task.status = "saving";
            task.saveLeft = save;
        } else end(task, "stopped");
        changed = true;
    }

    private void handle(Web.Request request) throws Exception {
        int status = 200;
        String answer;
        synchronized (this) {
            awaitGoing();
            if (gone) {
                request.drop();
                return;
            }
            // A machine that goes on first notices that its lease is over.
            step();
            if (request.path.equals("/do")) {
                Map<String, Object> body = Json.object(request.body);
                Long token = (Long) body.get("baton");
                Long session = (Long) body.get("shift");
                if (token == null || session == null) status = 400;
                else if (token < baton || session != shift) status = 409;
                else {
                    adopt(token);
                    for (Object order : (List<?>) body.get("orders")) execute((Map<?, ?>) order);
                }
            }
            answer = report();
        }
        request.reply(status, answer);
    }
}
