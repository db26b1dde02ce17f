import java.net.InetAddress;
import java.net.ServerSocket;

/** The network between the controller that an operator asks and the leader is interrupted. */
final class HeldCommand {
    private static final int OPERATORS_PORT = 7070;

    public static void main(String[] arguments) {
        Rig.run(arguments, Rig.rackmid(), HeldCommand::run);
    }

    private static void run(Rig rig, boolean trouble) throws Exception {
        // deploy/drain.toml names this port, so one of the controllers gets it.
        try (ServerSocket free =
                new ServerSocket(OPERATORS_PORT, 1, InetAddress.getByName(Web.HOST))) {
            rig.record("port %d is free", free.getLocalPort());
        } catch (java.io.IOException e) {
            throw new Rig.CannotRun("port 7070 is in use");
        }
        for (int i = 1; i <= 3; i++)
            rig.cloud.add(
                    new Worker(rig, String.format("i-%06d", i), "rackmid", Rig.SITES[i % 3], 16));
        String asked = "wardbox-1";
        rig.start(asked);
        rig.await(asked + " leads", 20, () -> asked.equals(rig.leader()));
        rig.await("its listener for operators", 20, () -> listens(rig, asked));
        rig.start("wardbox-0");
        rig.start("wardbox-2");
        rig.submit(Rig.batch("job-000001", 40, 1.0));
        rig.await("the job runs", 40, () -> rig.running("job-000001") == 40);
        // A restart gives the operators' port to a controller that does not lead.
        rig.kill(asked);
        rig.await(
                "another leader", 20, () -> rig.leader() != null && !asked.equals(rig.leader()));
        rig.start(asked);
        Rig.sleep(12);
        String leader = rig.leader();
        if (leader == null || leader.equals(asked)) throw new Rig.CannotRun("no other leader");
        rig.command("drain", "list");
        if (trouble) rig.interrupt(asked, leader, true);
        String[] result =
                rig.command("drain", "start", "--id", "firmware-7", "--type", "rackmid");
        rig.record("stored drains: %s", rig.store.under("d/"));
        if (trouble) rig.interrupt(asked, leader, false);
        Rig.sleep(8);
        rig.record("stored drains: %s", rig.store.under("d/"));
        rig.command("drain", "list");
        boolean exists = rig.store.value("d/firmware-7") != null;
        if (result[1].contains("nothing was carried out") && exists)
            rig.fault("drain: the operator was told that nothing was carried out, and it was");
        if (!trouble && !(result[0].equals("0") && exists))
            throw new Rig.CannotRun("the drain did not start");
    }

    private static boolean listens(Rig rig, String node) {
        try {
            return rig.logOf(node).contains("listens for operators");
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
