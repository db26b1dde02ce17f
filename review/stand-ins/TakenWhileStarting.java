package standins;

import java.nio.file.Path;
import java.util.List;

/**
 * The cloud takes a spot machine while it is starting. The leader counts it as capacity for good
 * and rents no other machine, so that the accepted job that waits for it never runs.
 */
final class TakenWhileStarting extends Case {
    private static final String JOB = "job-000001";

    private TakenWhileStarting(Path folder) throws Exception {
        super(Site.cegkapuRegister(), folder);
    }

    public static void main(String[] args) throws Exception {
        main(new TakenWhileStarting(Path.of(args[0])));
    }

    @Override
    int run() throws Exception {
        startControllers();
        if (!await("a leader", 20, () -> leader() >= 0)) return COULD_NOT_RUN;
        sleep(3000);
        if (submit(dailycheck(JOB, teams.get(0), 1, 20)) >= 300) return COULD_NOT_RUN;
        if (!await("a spot machine is starting", 15, () -> !cloud.startingSpotMachines().isEmpty()))
            return COULD_NOT_RUN;
        // By now the machine is listed.
        sleep(8000);
        List<Cloud.Box> starting = cloud.startingSpotMachines();
        if (starting.size() != 1) {
            record.log("expected one machine that is starting, found %d", starting.size());
            return COULD_NOT_RUN;
        }
        if (trouble) cloud.take(starting.get(0));
        int hires = cloud.hireRequests();
        double takenAt = record.now();
        double end = takenAt + 80;
        while (record.now() < end && rules.starts == 0) sleep(100);
        Web.Answer answer = Web.call(apis.get(0), "GET", "/submissions/" + JOB, "", 2000);
        record.log("poll %s: %d %s", JOB, answer.status, answer.body);
        int later = cloud.hireRequests() - hires;
        record.log("%.0f s after that: %d starts, %d requests to rent", record.now() - takenAt,
            rules.starts, later);
        if (rules.starts > 0) return DONE;
        // A service that still tries to get a machine would only be slow.
        if (later > 0) return DONE;
        rules.report("nothing_ran", JOB + " was accepted, and no machine is rented for it");
        return BROKEN;
    }
}
