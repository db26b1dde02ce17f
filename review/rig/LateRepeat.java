import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A late repeat of a carried-out start command, after its job was cancelled. */
final class LateRepeat {
    public static void main(String[] arguments) {
        Rig.run(arguments, Rig.rackmid(), LateRepeat::run);
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        String job = "job-000001";
        List<String> starts = new ArrayList<>();
        rig.network =
                new Worker.Network() {
                    @Override
                    public Web.Answer command(Worker worker, String body) {
                        if (!body.contains("\"start\"")) return null;
                        synchronized (starts) {
                            starts.add(body);
                        }
                        return null;
                    }
                };
        Worker worker = new Worker(rig, "i-000001", "rackmid", "pest-east", 16);
        rig.cloud.add(worker);
        for (String node : rig.nodes) rig.start(node);
        // A job that stays keeps the machine in use.
        rig.submit(Rig.batch("job-000002", 1, 2.0));
        // Small tasks, as those of cadastre-sweep: 0.25 CPU and 0.9 GB, give or take 30 %.
        Map<String, Object> sweep = Rig.batch(job, 80, 0.175);
        sweep.put("mem_gb", 0.63);
        rig.submit(sweep);
        rig.await("all 80 tasks run", 40, () -> rig.running(job) == 80);
        Rig.sleep(3);
        rig.abort(job);
        double told = rig.now();
        rig.await("no task of the cancelled job runs", 30, () -> rig.running(job) == 0);
        if (trouble) {
            // A process ends and is started again; a late copy of an old message follows.
            String follower =
                    rig.nodes.stream()
                            .filter(n -> !n.equals(rig.leader()))
                            .findFirst()
                            .orElseThrow();
            rig.kill(follower);
            Rig.sleep(8);
            rig.start(follower);
        }
        Rig.sleep(Math.max(0, told + rig.cancelS + 2 - rig.now()));
        rig.record("%s", worker.summary());
        if (trouble) {
            List<String> copies;
            synchronized (starts) {
                copies = List.copyOf(starts);
            }
            if (copies.isEmpty()) throw new Rig.CannotRun("no direct start was sent");
            for (String body : copies) {
                rig.record("net   a copy of a start command that was carried out arrives: %s", body);
                Web.Answer answer = Web.send("POST", worker.endpoint, "/do", body, 4);
                rig.record("net   the worker answers %d", answer.status());
            }
        }
        Rig.sleep(5);
        rig.record("%s", worker.summary());
    }
}
