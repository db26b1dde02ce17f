import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The cloud of PROTOCOL. Unless a case gives it capacity, it has only the machines that the case
 * starts with.
 */
final class Cloud {
    private final Rig rig;
    private final Map<String, Worker> machines = new LinkedHashMap<>();
    private final Map<String, Double> goneAt = new LinkedHashMap<>();
    private final double listLagS;
    private final Map<String, List<Object>> hires = new LinkedHashMap<>();
    private int lastHired = 100;
    volatile List<Object> types;
    /** The number of rackmid machines that can still be rented. */
    int capacity;

    Cloud(Rig rig, List<Object> types, double listLagS) {
        this.rig = rig;
        this.types = types;
        this.listLagS = listLagS;
    }

    synchronized void add(Worker worker) {
        machines.put(worker.id, worker);
    }

    synchronized List<Worker> workers() {
        return machines.values().stream().filter(w -> !w.gone).toList();
    }

    Web.Answer handle(String method, String path, String body) {
        String name = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
        if (name.equals("/machine_types"))
            return new Web.Answer(200, Json.write(Json.map("boxkinds", types)));
        if (name.equals("/machines") && method.equals("POST"))
            return hire(Json.object(body));
        if (name.equals("/machines/delete")) return delete(body);
        if (name.equals("/machines")) return list();
        return new Web.Answer(400, "{}");
    }

    private synchronized Web.Answer hire(Map<String, Object> request) {
        rig.record("cloud is asked for %s", request);
        List<Object> ids = hires.get((String) request.get("hire"));
        if (ids == null) {
            ids = new ArrayList<>();
            while (capacity > 0 && ids.size() < Json.integer(request.get("count"))) {
                capacity--;
                String id = String.format("i-%06d", ++lastHired);
                ids.add(id);
                Web.run(() -> boot(id, (String) request.get("ward")));
            }
            if (ids.isEmpty()) return new Web.Answer(503, "{\"error\":\"no capacity\"}");
            hires.put((String) request.get("hire"), ids);
        }
        return new Web.Answer(200, Json.write(Json.map("boxes", ids)));
    }

    /** A rented machine comes up after the usual time of its type. */
    private void boot(String id, String zone) {
        Rig.sleep(50);
        try {
            add(new Worker(rig, id, "rackmid", zone, 16));
            rig.record("%s is up", id);
        } catch (Exception e) {
            rig.record("%s does not come up", id);
        }
    }

    private synchronized Web.Answer delete(String body) {
        for (Object id : (List<?>) Json.object(body).get("boxes")) {
            Worker worker = machines.get((String) id);
            if (worker == null || worker.gone) continue;
            rig.record("cloud deletes %s", id);
            worker.end();
            goneAt.put(worker.id, rig.now());
        }
        return new Web.Answer(200, "{}");
    }

    private synchronized Web.Answer list() {
        List<Object> boxes = new ArrayList<>();
        for (Worker worker : machines.values()) {
            Double at = goneAt.get(worker.id);
            if (at != null && rig.now() - at > listLagS) continue;
            boxes.add(
                    Json.map(
                            "name_id", worker.id, "endpoint", worker.endpoint, "boxkind",
                            worker.type, "ward", worker.zone, "loaners", true, "status",
                            "running", "held_s", 300 + rig.now()));
        }
        return new Web.Answer(200, Json.write(Json.map("boxes", boxes, "truncated", false)));
    }
}
