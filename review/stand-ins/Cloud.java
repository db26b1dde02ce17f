package standins;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL-wardmux.md with the machine types of a site. */
final class Cloud implements Closeable {
    static final class Box {
        String id;
        Site.Type type;
        String ward;
        boolean loaners;
        String status;
        long rentedAt = System.nanoTime();
        Worker worker;

        Map<String, Object> listed() {
            return Json.map(
                "name_id", id, "endpoint", worker == null ? "" : worker.endpoint(),
                "boxkind", type.label, "ward", ward, "loaners", loaners, "status", status,
                "held_s", (System.nanoTime() - rentedAt) / 1e9);
        }
    }

    interface Boot {
        Worker start(Box box) throws IOException;
    }

    private final TreeMap<String, Box> boxes = new TreeMap<>();
    private final List<Map.Entry<Long, List<Object>>> lists = new ArrayList<>();
    private final Map<String, List<Object>> hires = new LinkedHashMap<>();
    private final Site site;
    private final Record record;
    private final Boot boot;
    private boolean outage;
    private int lastBox = 0;
    private int hireRequests;
    private final Web web;

    Cloud(Site site, Record record, Boot boot) throws IOException {
        this.site = site;
        this.record = record;
        this.boot = boot;
        web = new Web(this::handle);
        Thread t = new Thread(this::keepLists);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return web.address();
    }

    synchronized void setOutage(boolean on) {
        outage = on;
    }

    /** A machine that is up from the start. */
    synchronized Worker rent(String type, String ward, boolean loaners) throws IOException {
        Box box = newBox(site.type(type), ward, loaners);
        box.status = "running";
        box.worker = boot.start(box);
        return box.worker;
    }

    private Box newBox(Site.Type type, String ward, boolean loaners) {
        Box box = new Box();
        box.type = type;
        box.id = String.format("i-%06d", ++lastBox);
        box.ward = ward;
        box.loaners = loaners;
        box.status = "starting";
        boxes.put(box.id, box);
        return box;
    }

    /** The machine dies: it is listed as running for 30 s more, then as failed. */
    void die(Worker worker) {
        worker.die();
        Thread t = new Thread(() -> {
            Case.sleep(30_000);
            synchronized (this) {
                Box box = boxes.get(worker.id);
                if (box != null) box.status = "failed";
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** The number of requests to rent, repeated ones not counted. */
    synchronized int hireRequests() {
        return hireRequests;
    }

    /** The spot machines that are starting. */
    synchronized List<Box> startingSpotMachines() {
        List<Box> found = new ArrayList<>();
        for (Box box : boxes.values())
            if (box.loaners && box.status.equals("starting")) found.add(box);
        return found;
    }

    /** The cloud takes a spot machine with no notice; it is not listed any more. */
    synchronized void take(Box box) {
        boxes.remove(box.id);
        record.log("cloud takes %s, which was %s", box.id, box.status);
        if (box.worker != null) box.worker.gone("taken");
    }

    private void keepLists() {
        while (true) {
            synchronized (this) {
                List<Object> now = new ArrayList<>();
                for (Box box : boxes.values()) now.add(box.listed());
                lists.add(Map.entry(System.nanoTime(), now));
                if (lists.size() > 200) lists.remove(0);
            }
            Case.sleep(500);
        }
    }

    private void handle(Web.Request request) throws Exception {
        Thread.sleep(site.cloudLatencyMs);
        int status = 200;
        String answer = "{}";
        synchronized (this) {
            if (outage) {
                status = 503;
                answer = "{\"error\":\"trouble\"}";
            } else if (request.path.startsWith("/machine_types")) {
                List<Object> kinds = new ArrayList<>();
                for (Site.Type t : site.types)
                    kinds.add(
                        Json.map(
                            "label", t.label, "cores", t.cores, "gpus", 0.0, "mem_gb", t.memGb,
                            "local_gb", t.cacheGb, "pull_gb_per_s", t.fetchGbPerS,
                            "hourly", t.hourly, "spot_price", t.spotPrice, "boot_s", t.bootS,
                            "wards", site.zones));
                answer = Json.write(Json.map("boxkinds", kinds));
            } else if (request.path.equals("/machines/delete")) {
                for (Object id : (List<?>) Json.object(request.body).get("boxes")) {
                    Box box = boxes.remove((String) id);
                    if (box == null) continue;
                    record.log("cloud deleted %s", id);
                    if (box.worker != null) box.worker.gone("deleted");
                }
            } else if (request.method.equals("POST")) {
                Object[] result = hire(Json.object(request.body));
                status = (int) result[0];
                answer = (String) result[1];
            } else {
                long at = System.nanoTime() - (long) (site.listLagS * 1e9);
                List<Object> list = List.of();
                for (Map.Entry<Long, List<Object>> e : lists)
                    if (e.getKey() <= at) list = e.getValue();
                answer = Json.write(Json.map("boxes", list, "truncated", false));
            }
        }
        request.reply(status, answer);
    }

    private Object[] hire(Map<String, Object> body) {
        String hire = (String) body.get("hire");
        List<Object> known = hires.get(hire);
        if (known == null) {
            hireRequests++;
            Site.Type type = site.type((String) body.get("boxkind"));
            String ward = (String) body.get("ward");
            boolean loaners = (Boolean) body.get("loaners");
            long used =
                boxes.values().stream()
                    .filter(b -> b.type == type && b.ward.equals(ward) && b.loaners == loaners)
                    .count();
            int limit = loaners ? type.spot : type.ordinary;
            long count = Math.min((Long) body.get("count"), limit - used);
            if (count <= 0) return new Object[] {503, "{\"error\":\"no capacity\"}"};
            known = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Box box = newBox(type, ward, loaners);
                known.add(box.id);
                Thread t = new Thread(() -> bootLater(box));
                t.setDaemon(true);
                t.start();
            }
            hires.put(hire, known);
            record.log("cloud rented %s %s in %s loaners=%s", type.label, known, ward, loaners);
        }
        return new Object[] {200, Json.write(Json.map("boxes", known))};
    }

    private void bootLater(Box box) {
        Case.sleep((long) (box.type.bootS * 1000));
        synchronized (this) {
            if (!boxes.containsKey(box.id)) return;
            try {
                box.status = "running";
                box.worker = boot.start(box);
            } catch (IOException e) {
                box.status = "failed";
            }
        }
    }

    @Override
    public synchronized void close() throws IOException {
        web.close();
        for (Box box : boxes.values()) if (box.worker != null) box.worker.gone("end of the case");
    }
}
