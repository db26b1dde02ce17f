package wardmux.sim

import kotlin.math.abs
import wardmux.Micros
import wardmux.app.TeamFacts
import wardmux.intake.JobSpec
import wardmux.secs

/** The rules at the end of PROTOCOL, as they look from outside the controllers. */
class Rules(teams: List<TeamFacts>, private val cancelTime: Micros) {
    private class On(val machine: String, val zone: String)

    private class Told {
        var final: String? = null
        var finalAt = Micros.ZERO
        var acceptedAt: Micros? = null
        var answeredAt = Micros.ZERO
    }

    private val teams = teams.associateBy { it.name }
    private val specs = HashMap<String, JobSpec>()
    private val on = HashMap<String, HashMap<Int, On>>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val told = HashMap<String, Told>()
    private val toldCancelledAt = HashMap<String, Micros>()
    private val askedToCancel = HashSet<String>()
    val broken = ArrayList<String>()
    var starts = 0
        private set

    /** Of tasks whose machine has their result already: what was done had been lost track of. */
    var startsOfDone = 0

    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    fun askedToCancel(job: String) {
        askedToCancel.add(job)
    }

    private fun breaks(rule: String, what: String) {
        broken.add("$rule: $what")
    }

    /** A task has its image and is on its machine from now. */
    fun started(
        now: Micros,
        job: String,
        task: Int,
        machine: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        starts++
        begun.add(job)
        val spec =
            specs[job] ?: return breaks("invented", "$job/$task runs and nobody submitted it")
        val own = on.getOrPut(job) { HashMap() }
        own[task]?.let { breaks("ran_twice", "$job/$task on ${it.machine} and $machine") }
        if (spec.types != null && type !in spec.types) breaks("wrong_place", "$job on $type")
        if (spec.zone != null && zone != spec.zone) breaks("wrong_place", "$job in $zone")
        if (spot && !spec.spot) breaks("wrong_place", "$job on a spot machine")
        if (spec.oneZone && own.values.any { it.zone != zone }) {
            breaks("wrong_place", "$job in two zones")
        }
        if (spec.spread && own.values.count { it.zone == zone } >= spec.zoneLimit) {
            breaks("wrong_place", "too much of $job in $zone")
        }
        val cancelled = toldCancelledAt[job]
        if (cancelled != null && now - cancelled > cancelTime)
            breaks("ran_cancelled", "$job starts")
        own[task] = On(machine, zone)
        checkQuota(spec.team)
    }

    private fun checkQuota(team: String) {
        val used =
            on.entries.sumOf { (job, tasks) ->
                val spec = specs.getValue(job)
                if (spec.team == team) spec.cpus * tasks.size else 0.0
            }
        val limit = teams[team]?.cpusMax ?: 0.0
        if (used > limit && abs(used - limit) > 1e-6)
            breaks("quota", "$team uses $used of $limit: ${holdings(team)}")
    }

    private fun holdings(team: String) =
        on.filterKeys { specs.getValue(it).team == team }
            .map { (job, own) -> job + own.map { "/${it.key}@${it.value.machine}" } }

    fun ended(job: String, task: Int, machine: String, done: Boolean) {
        if (done) completed.getOrPut(job) { HashSet() }.add(task)
        val own = on[job] ?: return
        if (own[task]?.machine == machine) own.remove(task)
    }

    /** Between events: what has been on a machine for too long. */
    fun check(now: Micros) {
        for ((job, at) in toldCancelledAt) {
            if (now - at > cancelTime && on[job]?.isNotEmpty() == true) {
                breaks("ran_cancelled", "$job is still on a machine")
            }
        }
    }

    /**
     * A user got an answer about a job, to what it asked at [askedAt]. Answers may overtake each
     * other on their way, so one is held against what was known when its question was sent.
     */
    fun told(
        now: Micros,
        job: String,
        call: String,
        status: Int,
        state: String?,
        askedAt: Micros = now,
    ) {
        val known = told.getOrPut(job) { Told() }
        if (status == 200 || status == 201) {
            if (job !in specs) return breaks("invented", "$call of $job is answered $status")
            if (known.acceptedAt == null) known.acceptedAt = now
        }
        val accepted = known.acceptedAt?.let { it <= askedAt } == true
        if (accepted && (status == 400 || status == 404 || status == 422)) {
            breaks("forgotten", "$call of $job is answered $status")
        }
        if (status != 200 && status != 201) return
        val before = known.final
        val knew = known.finalAt <= askedAt || state == "cancelled" || state == "done"
        if (before != null && state != before && knew)
            breaks("went_back", "$job was $before, now is $state")
        if (before == null && (state == "cancelled" || state == "done")) {
            known.final = state
            known.finalAt = now
        }
        if (state == "cancelled") {
            if (job !in askedToCancel) breaks("went_back", "$job is cancelled by nobody")
            toldCancelledAt.putIfAbsent(job, now)
        }
        val tasks = specs.getValue(job).tasks
        if (state == "done" && (completed[job]?.size ?: 0) < tasks) breaks("not_done", job)
    }

    fun answered(now: Micros, job: String, well: Boolean) {
        if (well) told.getOrPut(job) { Told() }.answeredAt = now
    }

    /**
     * With all troubles over since [calm]: every accepted job is still known, whatever becomes of
     * the others, and of those that nobody cancelled at least half of each class, of each team and
     * of the largest of each class was served; the largest began within four minutes.
     */
    fun endOfDay(now: Micros, calm: Micros) {
        val accepted = told.filter { it.value.acceptedAt != null && it.key in specs }
        for ((job, known) in accepted) {
            val since = maxOf(known.answeredAt, calm, known.acceptedAt ?: calm)
            if (now - since > UNANSWERED) breaks("forgotten", "no question about $job is answered")
        }
        val old =
            accepted
                .filter { (job, known) ->
                    job !in askedToCancel && now - (known.acceptedAt ?: now) > LONGEST_WAIT
                }
                .keys
                .map { specs.getValue(it) }
        val byClass = old.groupBy { it.jobClass }
        for ((name, jobs) in byClass) half("class $name", jobs)
        for ((name, jobs) in old.groupBy { it.team }) half("team $name", jobs)
        for ((name, jobs) in byClass) {
            val largest = jobs.sortedByDescending { it.tasks }.take((jobs.size + 4) / 5)
            half("largest of $name", largest)
            for (job in largest) {
                if (job.id !in begun) breaks("late", "${job.id} of ${job.tasks} has not begun")
            }
        }
    }

    private fun half(what: String, jobs: List<JobSpec>) {
        val served = jobs.count { it.id in begun }
        if (served * 2 < jobs.size) breaks("served", "$served of ${jobs.size} of $what")
    }

    private val begun = HashSet<String>()

    fun completedOf(job: String): Int = completed[job]?.size ?: 0

    fun allDone(job: String): Boolean = (completed[job]?.size ?: 0) == specs.getValue(job).tasks

    fun finalOf(job: String): String? = told[job]?.final

    companion object {
        /** Tasks may go on for as long as PROTOCOL gives them after a cancellation. */
        val SLACK = 1.secs
        private val UNANSWERED = 75.secs
        private val LONGEST_WAIT = 240.secs
    }
}
