import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Start commands are held up for seconds on machines that also run a service. */
final class HeldStart {
    /** Longer than a controller waits for an answer; hunt/LATER.md allows 2 to 16 s. */
    private static final double HELD_S = 5;

    private static volatile boolean holding;
    private static final Set<String> heldAt = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Rig.run(arguments, Rig.rackmid(), HeldStart::run);
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        rig.network =
                new Worker.Network() {
                    @Override
                    public Web.Answer command(Worker worker, String body) {
                        if (!holding) return null;
                        heldAt.add(worker.id);
                        rig.record("net   a command to %s is held up: %s", worker.id, body);
                        Rig.sleep(HELD_S);
                        rig.record("net   the command reaches %s", worker.id);
                        worker.carryOut(body);
                        return new Web.Answer(0, "");
                    }
                };
        rig.cloud.capacity = 10;
        for (int i = 1; i <= 3; i++)
            rig.cloud.add(
                    new Worker(rig, String.format("i-%06d", i), "rackmid", Rig.SITES[i % 3], 16));
        rig.runTimes = piece -> piece.startsWith("job-000002/") ? 5 : 600;
        for (String node : rig.nodes) rig.start(node);
        // Two replicas of 6 CPUs on each of the three machines; 4 CPUs of each stay free.
        Map<String, Object> service = Rig.batch("job-000001", 6, 6.0);
        service.put("shape", "daemon");
        service.put("guess_s", 0.0);
        rig.submit(service);
        rig.await("the service runs", 20, () -> rig.running("job-000001") == 6);
        Rig.sleep(0.2);
        // All direct commands of the next three seconds are held up for some seconds.
        holding = trouble;
        Map<String, Object> work = Rig.batch("job-000002", 12, 1.0);
        work.put("guess_s", 5.0);
        rig.submit(work);
        Rig.sleep(3);
        holding = false;
        Rig.sleep(HELD_S + 0.5);
        rig.record("all troubles are over");
        if (trouble && heldAt.size() < 3)
            throw new Rig.CannotRun("commands were held up on " + heldAt + " only");
        double since = rig.now();
        rig.submit(Rig.batch("job-000003", 1, 1.0));
        while (rig.now() < since + 90.5 && rig.running("job-000003") == 0) Rig.sleep(0.1);
        for (Worker worker : rig.cloud.workers())
            rig.record("%s, %.0f of 16 CPUs used", worker.summary(), worker.usedCores());
        rig.record("polled: %s", rig.poll(rig.leader(), "job-000002").body());
        rig.record("polled: %s", rig.poll(rig.leader(), "job-000003").body());
        if (rig.running("job-000003") == 0)
            rig.fault(
                    "waiting: job-000003 has waited for %.0f s since all troubles were over",
                    rig.now() - since);
    }
}
