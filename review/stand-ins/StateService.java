package standins;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The state service of PROTOCOL-wardmux.md. */
final class StateService implements Closeable {
    private static final class Entry {
        Object data;
        long stamp;
        Long permit;
    }

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    private static final class Change {
        long epoch;
        String key;
        Object data;
        boolean removed;
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long epoch;
    private long lastLease;
    private boolean outage;
    private final double rps;
    private final double writeRps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private final Web web;

    /** A transaction for which this holds is applied, and its connection closes unanswered. */
    private Predicate<String> loseAnswerOf;

    private Runnable afterLost;

    StateService(double rps, double writeRps) throws IOException {
        this.rps = rps;
        this.writeRps = writeRps;
        requestTokens = rps;
        writeTokens = writeRps;
        web = new Web(this::handle);
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return web.address();
    }

    synchronized void startOutage() {
        outage = true;
    }

    synchronized boolean isDown() {
        return outage;
    }

    /** Ends the outage; all leases have their full time again. */
    synchronized void endOutage() {
        outage = false;
        for (Lease lease : leases.values()) lease.endsAt = now() + lease.lifeMs;
        notifyAll();
    }

    synchronized void loseNextAnswer(Predicate<String> of, Runnable after) {
        loseAnswerOf = of;
        afterLost = after;
    }

    synchronized Object value(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : entry.data;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (outage) continue;
                for (Long id : new ArrayList<>(leases.keySet()))
                    if (leases.get(id).endsAt < now()) endLease(id);
            }
        }
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) return;
        List<String> bound = new ArrayList<>();
        keys.forEach((k, e) -> {
            if (e.permit != null && e.permit == id) bound.add(k);
        });
        if (bound.isEmpty()) return;
        epoch++;
        for (String key : bound) remove(key);
        notifyAll();
    }

    private void remove(String key) {
        if (keys.remove(key) == null) return;
        Change change = new Change();
        change.epoch = epoch;
        change.key = key;
        change.removed = true;
        changes.add(change);
    }

    private boolean admit(int writes) {
        long now = System.nanoTime();
        double elapsed = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + elapsed * rps);
        writeTokens = Math.min(writeRps, writeTokens + elapsed * writeRps);
        if (requestTokens < 1 || writeTokens < writes) return false;
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private void handle(Web.Request request) throws Exception {
        String route = request.path.split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (request.path.contains("?"))
            for (String part : request.path.substring(request.path.indexOf('?') + 1).split("&"))
                query.put(part.split("=")[0], part.substring(part.indexOf('=') + 1));
        int status = 200;
        String answer = "{}";
        boolean lost = false;
        synchronized (this) {
            Map<String, Object> tx =
                route.equals("/multi") ? Json.object(request.body) : new HashMap<>();
            List<?> then = (List<?>) tx.get("then");
            if (outage) {
                status = 503;
            } else if (!admit(then == null ? 0 : then.size())) {
                status = 429;
            } else if (route.equals("/multi")) {
                Object[] result = multi(tx, then == null ? List.of() : then);
                status = (int) result[0];
                answer = (String) result[1];
                if (loseAnswerOf != null && loseAnswerOf.test(request.body)) {
                    loseAnswerOf = null;
                    lost = true;
                    afterLost.run();
                }
            } else if (route.equals("/keys")) {
                answer = list(query);
            } else if (route.startsWith("/keys/")) {
                Entry entry = keys.get(route.substring(6));
                status = entry == null ? 404 : 200;
                answer =
                    Json.write(
                        entry == null ? Json.map("epoch", epoch) : item(route.substring(6), entry));
            } else if (route.equals("/watch")) {
                long from = Long.parseLong(query.get("from"));
                long until = now() + Long.parseLong(query.getOrDefault("block_ms", "0"));
                String found = events(query.get("under"), from);
                // During an outage open watches stay open.
                while (found == null && (outage || now() < until)) {
                    wait(outage ? 50 : Math.max(1, Math.min(50, until - now())));
                    if (!outage) found = events(query.get("under"), from);
                }
                answer =
                    found != null
                        ? found
                        : Json.write(Json.map("epoch", epoch, "events", List.of()));
            } else if (route.equals("/leases")) {
                Lease lease = new Lease();
                lease.lifeMs = (Long) Json.object(request.body).get("life_ms");
                lease.endsAt = now() + lease.lifeMs;
                leases.put(++lastLease, lease);
                answer = Json.write(Json.map("permit", lastLease));
            } else if (route.endsWith("/renew")) {
                Lease lease = leases.get(Long.parseLong(route.split("/")[2]));
                if (lease == null) status = 404;
                else lease.endsAt = now() + lease.lifeMs;
            } else if (request.method.equals("DELETE")) {
                endLease(Long.parseLong(route.split("/")[2]));
            } else status = 400;
        }
        if (lost) request.drop();
        else request.reply(status, answer);
    }

    private Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> item = Json.map("k", key, "data", entry.data, "stamp", entry.stamp);
        if (entry.permit != null) item.put("permit", entry.permit);
        return item;
    }

    private String list(Map<String, String> query) {
        String under = query.get("under");
        String from = query.getOrDefault("from", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> e : keys.tailMap(under, true).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (e.getKey().compareTo(from) <= 0) continue;
            Map<String, Object> item = item(e.getKey(), e.getValue());
            bytes += Json.write(item).length();
            if (items.size() == limit || bytes > 500 * 1024) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        return Json.write(Json.map("items", items, "truncated", truncated, "epoch", epoch));
    }

    private Object[] multi(Map<String, Object> tx, List<?> then) {
        List<Object> failed = new ArrayList<>();
        List<?> conditions = tx.get("if") == null ? List.of() : (List<?>) tx.get("if");
        for (Object c : conditions) {
            Map<?, ?> condition = (Map<?, ?>) c;
            Entry entry = keys.get((String) condition.get("k"));
            if ((entry == null ? 0 : entry.stamp) != (Long) condition.get("stamp"))
                failed.add(condition.get("k"));
        }
        for (Object o : then) {
            Object permit = ((Map<?, ?>) o).get("permit");
            if (permit != null && !leases.containsKey((Long) permit))
                return new Object[] {400, "{\"error\":\"no such lease\"}"};
        }
        if (!failed.isEmpty())
            return new Object[] {409, Json.write(Json.map("failed", failed, "epoch", epoch))};
        if (!then.isEmpty()) epoch++;
        for (Object o : then) {
            Map<?, ?> op = (Map<?, ?>) o;
            if (op.get("put") == null) {
                remove((String) op.get("remove"));
                continue;
            }
            Entry entry = new Entry();
            entry.data = op.get("data");
            entry.stamp = epoch;
            entry.permit = (Long) op.get("permit");
            keys.put((String) op.get("put"), entry);
            Change change = new Change();
            change.epoch = epoch;
            change.key = (String) op.get("put");
            change.data = entry.data;
            changes.add(change);
        }
        notifyAll();
        return new Object[] {200, Json.write(Json.map("epoch", epoch))};
    }

    private String events(String under, long from) {
        List<Object> events = new ArrayList<>();
        for (Change c : changes) {
            if (c.epoch <= from || !c.key.startsWith(under)) continue;
            events.add(
                c.removed
                    ? Json.map("remove", c.key, "stamp", c.epoch)
                    : Json.map("put", c.key, "data", c.data, "stamp", c.epoch));
        }
        return events.isEmpty() ? null : Json.write(Json.map("epoch", epoch, "events", events));
    }

    @Override
    public void close() throws IOException {
        web.close();
    }
}
