import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys, transactions, leases, watches and limits. */
final class Store {
    private record Item(Object data, long stamp, Long permit) {}

    private record Change(long stamp, Map<String, Object> event, String key) {}

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    /** Decides what happens to a controller's request before it is served; null serves it. */
    interface Fault {
        Web.Answer before(String node, String method, String path, String body);
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final double rps;
    private double writeRps;
    private int txnOps;
    private int valueBytes;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private long epoch = 100;
    private long lastPermit = 6;
    volatile Fault fault = (node, method, path, body) -> null;

    Store(double rps, double writeRps, double valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.txnOps = txnOps;
        valueBytes = (int) (valueKb * 1024);
        requestTokens = rps;
        writeTokens = writeRps;
        Web.run(
                () -> {
                    while (true) {
                        expire();
                        Rig.sleep(0.02);
                    }
                });
    }

    Web.Answer handle(String node, String method, String path, String body)
            throws InterruptedException {
        Web.Answer early = fault.before(node, method, path, body);
        return early != null ? early : serve(method, path, body);
    }

    /** Serves a request. */
    Web.Answer serve(String method, String path, String body) throws InterruptedException {
        if (!take(1, 0)) return new Web.Answer(429, "{\"error\":\"rate\"}");
        String name = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
        Map<String, String> query = query(path);
        if (method.equals("GET") && name.equals("/keys")) return scan(query);
        if (method.equals("GET") && name.startsWith("/keys/")) return get(name.substring(6));
        if (method.equals("GET") && name.equals("/watch")) return watch(query);
        if (method.equals("POST") && name.equals("/multi")) return multi(body);
        if (method.equals("POST") && name.equals("/leases")) return grant(body);
        if (method.equals("POST") && name.endsWith("/renew"))
            return renew(Long.parseLong(name.split("/")[2]));
        if (method.equals("DELETE") && name.startsWith("/leases/")) {
            end(Long.parseLong(name.split("/")[2]));
            return new Web.Answer(200, "{}");
        }
        return new Web.Answer(400, "{\"error\":\"path\"}");
    }

    /** Lowers the limits, as `state.next` in the settings announced. */
    synchronized void setLimits(double writeRps, double valueKb, int txnOps) {
        this.writeRps = writeRps;
        this.txnOps = txnOps;
        valueBytes = (int) (valueKb * 1024);
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        int start = path.indexOf('?');
        if (start < 0) return query;
        for (String pair : path.substring(start + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    private synchronized boolean take(int requests, int writes) {
        long now = System.nanoTime();
        double elapsed = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + elapsed * rps);
        writeTokens = Math.min(Math.max(writeRps, txnOps), writeTokens + elapsed * writeRps);
        if (requestTokens < requests || writeTokens < writes) return false;
        requestTokens -= requests;
        writeTokens -= writes;
        return true;
    }

    private synchronized Web.Answer get(String key) {
        Item item = items.get(key);
        if (item == null) return new Web.Answer(404, Json.write(Json.map("epoch", epoch)));
        return new Web.Answer(200, Json.write(entry(key, item)));
    }

    private static Map<String, Object> entry(String key, Item item) {
        Map<String, Object> entry =
                Json.map("k", key, "data", item.data(), "stamp", item.stamp());
        if (item.permit() != null) entry.put("permit", item.permit());
        return entry;
    }

    private synchronized Web.Answer scan(Map<String, String> query) {
        String under = query.getOrDefault("under", "");
        String from = query.get("from");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Item> e : items.tailMap(under, true).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (from != null && e.getKey().compareTo(from) <= 0) continue;
            Map<String, Object> entry = entry(e.getKey(), e.getValue());
            bytes += Json.write(entry).length();
            if (found.size() >= limit || (bytes > 512 * 1024 && !found.isEmpty())) {
                truncated = true;
                break;
            }
            found.add(entry);
        }
        return new Web.Answer(
                200, Json.write(Json.map("items", found, "truncated", truncated, "epoch", epoch)));
    }

    private synchronized Web.Answer multi(String body) {
        Map<String, Object> request = Json.object(body);
        List<Map<String, Object>> conditions = Json.list(request.get("if"));
        List<Map<String, Object>> operations = Json.list(request.get("then"));
        if (body.length() > 64 * 1024
                || operations.size() > txnOps
                || conditions.size() > 4 * txnOps) return new Web.Answer(400, "{}");
        if (!take(0, operations.size())) return new Web.Answer(429, "{\"error\":\"rate\"}");
        for (Map<String, Object> operation : operations) {
            Object permit = operation.get("permit");
            if (permit != null && !leases.containsKey(Json.integer(permit)))
                return new Web.Answer(400, "{\"error\":\"no such lease\"}");
            if (operation.containsKey("put")
                    && Json.write(operation.get("data")).length() > valueBytes)
                return new Web.Answer(400, "{\"error\":\"value too large\"}");
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Item item = items.get((String) condition.get("k"));
            if ((item == null ? 0 : item.stamp()) != Json.integer(condition.get("stamp")))
                failed.add(condition.get("k"));
        }
        if (!failed.isEmpty())
            return new Web.Answer(409, Json.write(Json.map("failed", failed, "epoch", epoch)));
        if (!operations.isEmpty()) epoch++;
        for (Map<String, Object> operation : operations) apply(operation);
        notifyAll();
        return new Web.Answer(200, Json.write(Json.map("epoch", epoch)));
    }

    private void apply(Map<String, Object> operation) {
        if (operation.containsKey("put")) {
            String key = (String) operation.get("put");
            Object permit = operation.get("permit");
            Object data = operation.get("data");
            items.put(key, new Item(data, epoch, permit == null ? null : Json.integer(permit)));
            add(key, Json.map("put", key, "data", data, "stamp", epoch));
        } else {
            String key = (String) operation.get("remove");
            if (items.remove(key) != null) add(key, Json.map("remove", key, "stamp", epoch));
        }
    }

    private void add(String key, Map<String, Object> event) {
        changes.add(new Change(epoch, event, key));
        while (changes.size() > 10_000) changes.remove(0);
    }

    private synchronized Web.Answer watch(Map<String, String> query) throws InterruptedException {
        String under = query.getOrDefault("under", "");
        long from = Long.parseLong(query.getOrDefault("from", "0"));
        long blockMs = Math.min(60_000, Long.parseLong(query.getOrDefault("block_ms", "0")));
        long until = System.currentTimeMillis() + blockMs;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > from; i--)
                if (changes.get(i).key().startsWith(under)) events.add(0, changes.get(i).event());
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0)
                return new Web.Answer(
                        200, Json.write(Json.map("epoch", epoch, "events", events)));
            wait(left);
        }
    }

    private synchronized Web.Answer grant(String body) {
        Lease lease = new Lease();
        lease.lifeMs = Json.integer(Json.object(body).get("life_ms"));
        lease.endsAt = System.nanoTime() + lease.lifeMs * 1_000_000;
        leases.put(++lastPermit, lease);
        return new Web.Answer(200, Json.write(Json.map("permit", lastPermit)));
    }

    private synchronized Web.Answer renew(long permit) {
        Lease lease = leases.get(permit);
        if (lease == null) return new Web.Answer(404, "{}");
        lease.endsAt = System.nanoTime() + lease.lifeMs * 1_000_000;
        return new Web.Answer(200, "{}");
    }

    private synchronized void end(long permit) {
        if (leases.remove(permit) == null) return;
        List<String> attached = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (item.permit() != null && item.permit() == permit) attached.add(key);
                });
        if (attached.isEmpty()) return;
        epoch++;
        for (String key : attached) apply(new LinkedHashMap<>(Map.of("remove", key)));
        notifyAll();
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        for (Map.Entry<Long, Lease> e : new ArrayList<>(leases.entrySet()))
            if (now > e.getValue().endsAt) end(e.getKey());
    }

    /** The value of a key, for the record; null if there is none. */
    synchronized Object value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.data();
    }

    /** All keys with their values under a prefix, for the record. */
    synchronized Map<String, Object> under(String prefix) {
        Map<String, Object> found = new LinkedHashMap<>();
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix)) found.put(key, item.data());
                });
        return found;
    }
}
