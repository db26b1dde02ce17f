package standins;

import java.nio.file.Path;

/**
 * The state service goes down for 20 s in the middle of a write of the leader, and at the same time
 * a machine hangs for 25 s. When the leader has read the stored state again, it gives the tasks of
 * that machine to another one, although they are still there.
 */
final class HungMachine extends Case {
    private static final String JOB = "job-000003";

    private HungMachine(Path folder) throws Exception {
        super(Site.szalasBooking(), folder);
    }

    public static void main(String[] args) throws Exception {
        main(new HungMachine(Path.of(args[0])));
    }

    @Override
    int run() throws Exception {
        startMachines("rackmid", 8);
        startControllers();
        if (!await("a leader", 30, () -> leader() >= 0)) return COULD_NOT_RUN;
        // Two short jobs bring the image to all machines.
        if (submit(slotfill("job-000001", teams.get(0), 8, 4)) >= 300) return COULD_NOT_RUN;
        if (submit(slotfill("job-000002", teams.get(1), 8, 4)) >= 300) return COULD_NOT_RUN;
        if (!await("the short jobs are on 16 places", 30, () -> rules.starts >= 16))
            return COULD_NOT_RUN;
        sleep(5000);
        if (submit(slotfill(JOB, teams.get(2), 8, 100)) >= 300) return COULD_NOT_RUN;
        if (!await("eight tasks run", 20, () -> rules.machinesOf(JOB).size() == 8))
            return COULD_NOT_RUN;
        sleep(4000);
        Worker machine = workers.stream().filter(w -> w.runs(JOB)).findFirst().orElseThrow();
        if (trouble) {
            // The next write of the leader gets no answer, and the outage begins with it.
            state.loseNextAnswer(body -> body.contains("\"put\":\"tags\""), state::startOutage);
        }
        // This job makes the leader write.
        if (submit(slotfill("job-000004", teams.get(3), 1, 60)) >= 300) return COULD_NOT_RUN;
        if (!trouble) {
            sleep(32_000);
            return DONE;
        }
        if (!await("the outage begins", 10, state::isDown)) return COULD_NOT_RUN;
        machine.hang();
        sleep(20_000);
        state.endOutage();
        record.log("the outage ends");
        sleep(5000);
        machine.resume();
        sleep(4000);
        return DONE;
    }
}
