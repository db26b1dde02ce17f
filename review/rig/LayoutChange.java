import java.util.List;
import java.util.Map;

/** The state service's value limit in the settings changes; later a controller crashes. */
final class LayoutChange {
    public static void main(String[] arguments) {
        Rig.run(arguments, Rig.rackmid(), LayoutChange::run);
    }

    private static final String ANNOUNCED =
            "rps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 48\n"
                    + "\n[facts.state.next]\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 16\n";
    private static final String LOWERED =
            "rps = 150.0\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 16\n";

    private static void run(Rig rig, boolean trouble) throws Exception {
        // Two teams with a job each. Its first task ends early, so that its page is written again.
        Map<String, Object> a = Rig.batch("job-000001", 72, 1.0);
        Map<String, Object> b = Rig.batch("job-000002", 72, 1.0);
        b.put("owner", "routeplan-01");
        for (Map<String, Object> job : List.of(a, b)) job.put("guess_s", 20.0);
        rig.runTimes = piece -> piece.endsWith("/0") ? 24 : 600;
        // Nine machines would hold the jobs' 144 tasks of 1 CPU.
        for (int i = 1; i <= 20; i++)
            rig.cloud.add(
                    new Worker(
                            rig, String.format("i-%06d", i), "rackmid", Rig.SITES[i % 3], 16));
        rig.stateSettings = ANNOUNCED;
        for (String node : rig.nodes) rig.start(node);
        rig.submit(a);
        rig.submit(b);
        rig.await("all tasks run", 40, () -> running(rig) == 144);
        Rig.sleep(1);
        // The announced limits come into force, and the platform's file then names them.
        if (trouble) {
            rig.record("the state service lowers its limits");
            rig.store.setLimits(42, 2, 16);
            rig.stateSettings = LOWERED;
        }
        // All controllers are restarted one after the other.
        String first = rig.leader();
        for (int i = 1; i <= 3; i++) {
            String node = rig.nodes.get((rig.nodes.indexOf(first) + i) % 3);
            rig.kill(node);
            Rig.sleep(1);
            rig.start(node);
            Rig.sleep(5);
        }
        rig.await("the ends of both first tasks are recorded", 50, () -> isEndRecorded(rig));
        Rig.sleep(1);
        rig.record("stored pages: %s", rig.store.under("t/"));
        // One controller crashes, and is started again within a fraction of a second.
        rig.await("a leader", 15, () -> rig.leader() != null);
        String leader = rig.leader();
        rig.kill(leader);
        rig.start(leader);
        Rig.sleep(15);
        rig.record("stored pages: %s", rig.store.under("t/"));
        rig.record("%d tasks run", running(rig));
    }

    /** True if the first page of both jobs lists their first task as done. */
    private static boolean isEndRecorded(Rig rig) {
        for (String job : List.of("job-000001", "job-000002")) {
            Object page = rig.store.value("t/" + job + "/0");
            if (page == null || ((List<?>) Json.map(page).get("d")).isEmpty()) return false;
        }
        return true;
    }

    private static int running(Rig rig) {
        return rig.running("job-000001") + rig.running("job-000002");
    }
}
