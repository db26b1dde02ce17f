import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of PROTOCOL. It has no capacity beyond the machines that a case starts with. */
final class Cloud {
    private final Rig rig;
    private final Map<String, Worker> machines = new LinkedHashMap<>();
    private final Map<String, Double> goneAt = new LinkedHashMap<>();
    private final double listLagS;
    volatile List<Object> types;

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
            return new Web.Answer(503, "{\"error\":\"no capacity\"}");
        if (name.equals("/machines/delete")) return delete(body);
        if (name.equals("/machines")) return list();
        return new Web.Answer(400, "{}");
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
