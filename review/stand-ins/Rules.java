package standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The rules ran_twice, quota and ran_cancelled of PROTOCOL-wardmux.md, as written there. */
final class Rules {
    private final Record record;
    private final double cancelS;
    private final Map<String, Double> limits;

    /** For each task that is on a machine, the machines that it is on. */
    private final Map<String, List<String>> places = new LinkedHashMap<>();

    private final Map<String, Double> cancelledAt = new HashMap<>();
    final Map<String, Map<String, Object>> specs = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    int starts;

    Rules(Record record, double cancelS, Map<String, Double> limits) {
        this.record = record;
        this.cancelS = cancelS;
        this.limits = limits;
    }

    synchronized void submitted(Map<String, Object> spec) {
        specs.put((String) spec.get("name_id"), spec);
    }

    synchronized Map<String, Object> spec(String job) {
        return specs.get(job);
    }

    synchronized void report(String rule, String text) {
        broken.add(rule);
        record.log("BROKEN %s: %s", rule, text);
    }

    /** The task has its image from now on and is on its machine. */
    synchronized void started(String task, long attempt, String machine) {
        starts++;
        String job = task.split("/")[0];
        List<String> on = places.computeIfAbsent(task, k -> new ArrayList<>());
        record.log("%s try %d is on %s%s", task, attempt, machine, on.isEmpty() ? "" : ", also " + on);
        if (!on.isEmpty()) report("ran_twice", task + " starts on " + machine + " and is on " + on);
        on.add(machine);
        Double cancelled = cancelledAt.get(job);
        if (cancelled != null && record.now() - cancelled > cancelS)
            report("ran_cancelled", task + " starts, cancelled at " + cancelled);
        String team = (String) specs.get(job).get("owner");
        double used = 0;
        for (Map.Entry<String, List<String>> e : places.entrySet()) {
            Map<String, Object> spec = specs.get(e.getKey().split("/")[0]);
            if (spec.get("owner").equals(team))
                used += (Double) spec.get("cores") * e.getValue().size();
        }
        if (used > limits.get(team) + 1e-6) report("quota", team + " uses " + used);
    }

    synchronized void left(String task, long attempt, String machine, String why) {
        List<String> on = places.get(task);
        if (on != null && on.remove(machine))
            record.log("%s try %d left %s: %s", task, attempt, machine, why);
        if (on != null && on.isEmpty()) places.remove(task);
    }

    synchronized void cancelled(String job) {
        cancelledAt.putIfAbsent(job, record.now());
    }

    /** Checks that no task of a job is on a machine too long after its cancellation. */
    synchronized void check() {
        cancelledAt.forEach((job, at) -> {
            if (record.now() - at <= cancelS || broken.contains("ran_cancelled")) return;
            for (String task : places.keySet())
                if (task.startsWith(job + "/")) report("ran_cancelled", task + " is on " + places.get(task));
        });
    }

    synchronized List<String> machinesOf(String job) {
        List<String> all = new ArrayList<>();
        places.forEach((task, on) -> {
            if (task.startsWith(job + "/")) all.addAll(on);
        });
        return all;
    }
}
