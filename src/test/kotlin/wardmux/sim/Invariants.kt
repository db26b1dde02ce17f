package wardmux.sim

import kotlin.math.abs
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.peers.CancellationUpdate

/** A machine as it is: what is free on it, and the tasks (job and number) that it holds. */
class MachineView(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val freeCpus: Double,
    val tasks: List<Pair<String, Int>>,
)

/** The rules at the end of PROTOCOL, as they look from outside the controllers. */
class Invariants(teams: List<TeamQuota>, private val cancelTime: Micros) {
    private class On(val machine: String, val zone: String, val attempt: Int)

    private class CancellationUpdate {
        var final: String? = null
        var finalAt = Micros.ZERO
        var acceptedAt: Micros? = null
        var answeredAt = Micros.ZERO

        /** Spells without an answer that were too long, if no trouble excuses them. */
        val silent = ArrayList<Pair<Micros, Micros>>()
    }

    private val teams = teams.associateBy { it.name }
    private val specs = HashMap<String, JobSpec>()
    private val on = HashMap<String, HashMap<Int, On>>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val told = HashMap<String, CancellationUpdate>()
    private val toldCancelledAt = HashMap<String, Micros>()
    private val askedToCancel = HashSet<String>()
    val broken = ArrayList<String>()

    /** What each team lost, by the workers' own records. */
    val losses = DisruptionCounter()
    var starts = 0
        private set

    /** Starts that were on their way when their user was told of the cancellation. */
    var startsAfterCancel = 0
        private set

    /** Commands to start that machines carried out after the user was told of the cancellation. */
    var startsCarriedOutAfterCancel = 0
        private set

    /** A machine carries out the command to start a task of [job]. */
    fun startCarriedOut(job: String) {
        if (job in toldCancelledAt) startsCarriedOutAfterCancel++
    }

    /** Called when the last task of a job that nobody called off has ended. */
    var whenAllDone: (String) -> Unit = {}

    /** Of tasks whose machine has their result already: what was done had been lost track of. */
    var startsOfDone = 0

    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    fun askedToCancel(job: String) {
        askedToCancel.add(job)
        losses.cancelled(job)
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
        attempt: Int = 1,
    ) {
        starts++
        roomSince.keys.removeIf { it.first == job }
        val spec =
            specs[job] ?: return breaks("invented", "$job/$task runs and nobody submitted it")
        val own = on.getOrPut(job) { HashMap() }
        if (spec.kind == JobKind.GANG) checkRemains(spec, task, zone, attempt, own)
        else begun.add(job)
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
        if (cancelled != null) startsAfterCancel++
        if (cancelled != null && now - cancelled > cancelTime)
            breaks("ran_cancelled", "$job starts")
        own[task] = On(machine, zone, attempt)
        checkQuota(spec.team)
    }

    /** What is left of another attempt keeps its task, and its zone where all must be in one. */
    private fun checkRemains(
        spec: JobSpec,
        task: Int,
        zone: String,
        attempt: Int,
        own: Map<Int, On>,
    ) {
        for ((other, place) in own) {
            if (place.attempt == attempt) continue
            if (other == task || (spec.oneZone && place.zone != zone)) {
                val old = "/$other try ${place.attempt} on ${place.machine} in ${place.zone}"
                breaks("gang_over_remains", "${spec.id}/$task try $attempt in $zone over $old")
            }
        }
    }

    /** Times that a gang began to run. */
    var gangsBegun = 0
        private set

    /** All of a gang run from now: these are its tasks. */
    fun gangBegins(job: String, attempt: Int, tasks: Set<Int>) {
        gangsBegun++
        begun.add(job)
        val spec = specs[job] ?: return
        val there = on[job].orEmpty().filterValues { it.attempt == attempt }.keys
        if (tasks.size < spec.tasks || !there.containsAll(tasks))
            breaks("gang_part", "$job try $attempt begins with $tasks, on machines are $there")
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
        val before = job in specs && allDone(job)
        val first = done && completed.getOrPut(job) { HashSet() }.add(task) && !before
        on[job]?.let { if (it[task]?.machine == machine) it.remove(task) }
        if (first && isAccepted(job) && job !in askedToCancel && allDone(job)) whenAllDone(job)
    }

    val knowsCancelled: Boolean
        get() = toldCancelledAt.isNotEmpty()

    /** Commands to start that were decided after their user was told of the cancellation. */
    var commandsAfterCancel = 0
        private set

    /**
     * A controller decides to send an command to start. None may be sent once the user was told
     * cancelled, but for what a leader did not know yet when it placed the task: it hears of it, or
     * is none any more, within its lease. What was decided before is on its way, and its time is
     * that of [started].
     */
    fun ordered(now: Micros, job: String, order: String) {
        val cancelled = toldCancelledAt[job] ?: return
        commandsAfterCancel++
        if (now - cancelled > HEARD_WITHIN) {
            breaks(
                "started_cancelled",
                "$order, ${(now - cancelled).inSeconds} s after it was told",
            )
        }
    }

    /** What a job gets that can't run or lacks a field; anything but 2xx and 4xx may be retried. */
    fun answeredBad(job: String, expected: Int, status: Int, body: String) {
        if (status in 200..299) breaks("accepted_bad", "$job, $status for $body")
        else if (status != expected && status in 400..499 && status != 429)
            breaks("wrong_answer", "$job, $status for $body")
    }

    /** The answer to a submission again: 200 with the state now, if its user was told before. */
    fun repeated(now: Micros, job: String, status: Int, state: String?, askedAt: Micros) {
        val known = told[job]?.acceptedAt?.let { it <= askedAt } == true
        told(now, job, "POST", status, state, askedAt)
        if (known && status == 201) breaks("wrong_answer", "$job is accepted once more")
        if (status == 200 && state !in states) breaks("wrong_answer", "$job is $state")
    }

    /** Its user was told so; one who was not does not ask about it either. */
    private fun isAccepted(job: String) = told[job]?.acceptedAt != null

    fun runningUncancelled(): List<String> =
        on.filter { it.value.isNotEmpty() && it.key !in askedToCancel && isAccepted(it.key) }
            .keys
            .sorted()

    fun machinesOf(job: String): List<String> =
        on[job].orEmpty().toSortedMap().values.map { it.machine }

    private fun accepted(over: Boolean) =
        told
            .filter { it.value.acceptedAt != null && (it.value.final != null) == over }
            .keys
            .filter { it in specs }
            .sorted()

    fun open(): List<String> = accepted(over = false)

    fun over(): List<String> = accepted(over = true)

    /** Since when a machine has had room for a waiting job, with no task of it started. */
    private val roomSince = HashMap<Pair<String, String>, Micros>()

    /**
     * Called about once a second while there are no troubles, with the machines that are well and
     * with all there are.
     */
    fun rooms(now: Micros, well: List<MachineView>, all: List<MachineView>) {
        val used = HashMap<String, Double>()
        val held = HashMap<String, MutableList<Pair<Int, String>>>()
        for (machine in all) for ((job, task) in machine.tasks) {
            val spec = specs[job] ?: continue
            used.merge(spec.team, spec.cpus, Double::plus)
            held.getOrPut(job) { ArrayList() }.add(task to machine.zone)
        }
        val open = HashSet<Pair<String, String>>()
        for (job in open()) {
            if (job in askedToCancel) continue
            val spec = specs.getValue(job)
            val own = held[job].orEmpty()
            val waiting =
                (0 until spec.tasks) - own.map { it.first }.toSet() - completed[job].orEmpty()
            if (waiting.isEmpty()) continue
            // A group and a service need room for all that waits of them.
            val together = if (spec.kind == JobKind.ARRAY) 1 else waiting.size
            val need = spec.cpus * together
            val limit = teams[spec.team]?.cpusMax ?: 0.0
            if ((used[spec.team] ?: 0.0) + need > limit + 1e-6) continue
            for (machine in well) if (fits(spec, machine, own, together))
                open.add(job to machine.id)
        }
        roomSince.keys.retainAll(open)
        for (pair in open) {
            val since = roomSince.getOrPut(pair) { now }
            if (now - since <= LONGEST_BESIDE_ROOM) continue
            breaks("left_waiting", "${pair.first} beside ${pair.second} since $since")
            roomSince[pair] = now
        }
    }

    private fun fits(
        spec: JobSpec,
        machine: MachineView,
        own: List<Pair<Int, String>>,
        together: Int,
    ): Boolean =
        machine.freeCpus + 1e-6 >= spec.cpus * together &&
            (spec.types == null || machine.type in spec.types) &&
            (spec.zone == null || machine.zone == spec.zone) &&
            (spec.spot || !machine.spot) &&
            (!spec.oneZone || own.all { it.second == machine.zone }) &&
            (!spec.spread || own.count { it.second == machine.zone } + together <= spec.zoneLimit)

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
        val known = told.getOrPut(job) { CancellationUpdate() }
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
        if (state == "done" && !allDone(job)) breaks("not_done", job)
    }

    fun answered(now: Micros, job: String, well: Boolean) {
        if (!well) return
        val known = told.getOrPut(job) { CancellationUpdate() }
        if (now - known.answeredAt > UNANSWERED) known.silent.add(known.answeredAt to now)
        known.answeredAt = now
    }

    /**
     * With all troubles over since [calm]: every accepted job is still known, whatever becomes of
     * the others, and of those that nobody cancelled at least half of each class, of each team and
     * of the largest of each class was served; the largest began within four minutes.
     */
    fun checkAtEnd(now: Micros, calm: Micros) {
        val accepted = told.filter { it.value.acceptedAt != null && it.key in specs }
        for ((job, known) in accepted) {
            val since = maxOf(known.answeredAt, calm, known.acceptedAt ?: calm)
            val spells = known.silent.map { it.second - maxOf(it.first, since(known, calm)) }
            if (now - since > UNANSWERED || spells.any { it > UNANSWERED })
                breaks("forgotten", "no question about $job is answered")
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

    private fun since(known: CancellationUpdate, calm: Micros) =
        maxOf(calm, known.acceptedAt ?: calm)

    private fun half(what: String, jobs: List<JobSpec>) {
        val served = jobs.count { it.id in begun }
        if (served * 2 < jobs.size) breaks("served", "$served of ${jobs.size} of $what")
    }

    private val begun = HashSet<String>()

    fun completedOf(job: String): Int = completed[job]?.size ?: 0

    /** One task of a gang that is done means that all are. */
    fun allDone(job: String): Boolean {
        val spec = specs.getValue(job)
        return completedOf(job) >= if (spec.kind == JobKind.GANG) 1 else spec.tasks
    }

    /** Which machine each task of [job] is on. */
    fun placesOf(job: String): Map<Int, String> = on[job].orEmpty().mapValues { it.value.machine }

    /** The attempts of which tasks of [job] are on machines. */
    fun attemptsOf(job: String): Set<Int> = on[job].orEmpty().values.map { it.attempt }.toSet()

    /** When a user was first told that [job] is cancelled. */
    fun cancelledAt(job: String): Micros? = toldCancelledAt[job]

    fun finalOf(job: String): String? = told[job]?.final

    companion object {
        /** Tasks may go on for as long as PROTOCOL gives them after a cancellation. */
        val SLACK = 1.seconds
        private val UNANSWERED = 75.seconds
        private val LONGEST_WAIT = 240.seconds
        private val HEARD_WITHIN = 4.seconds
        private val LONGEST_BESIDE_ROOM = 90.seconds
        private val states = setOf("queued", "running", "done", "cancelled")
    }
}
