package wardmux.sim

import kotlin.math.abs
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds

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
    private class TaskLocation(val machine: String, val zone: String, val attempt: Int)

    private class ReportedJob {
        var finalState: String? = null
        var finalAt = Micros.ZERO
        var acceptedAt: Micros? = null
        var lastAnsweredAt = Micros.ZERO

        /** Spells without an answer that were too long, if no trouble excuses them. */
        val unansweredPeriods = ArrayList<Pair<Micros, Micros>>()
    }

    private val teams = teams.associateBy { it.name }
    private val specs = HashMap<String, JobSpec>()
    private val locations = HashMap<String, HashMap<Int, TaskLocation>>()
    private val completedTasks = HashMap<String, HashSet<Int>>()
    private val reportedJobs = HashMap<String, ReportedJob>()
    private val cancellationReports = HashMap<String, Micros>()
    private val cancelRequests = HashSet<String>()
    val violations = ArrayList<String>()

    /** What each team lost, by the workers' own records. */
    val disruptions = DisruptionCounter()
    var starts = 0
        private set

    /** Starts that were on their way when their user was told of the cancellation. */
    var startsAfterCancel = 0
        private set

    /** Commands to start that machines carried out after the user was told of the cancellation. */
    var startsCarriedOutAfterCancel = 0
        private set

    /** A machine carries out the command to start a task of [job]. */
    fun recordStartCarriedOut(job: String) {
        if (job in cancellationReports) startsCarriedOutAfterCancel++
    }

    /** Called when the last task of a job that nobody called off has ended. */
    var onAllTasksDone: (String) -> Unit = {}

    /** Of tasks whose machine has their result already: what was done had been lost track of. */
    var startsOfDoneTasks = 0

    fun recordSubmission(spec: JobSpec) {
        specs[spec.id] = spec
    }

    fun recordCancelRequest(job: String) {
        cancelRequests.add(job)
        disruptions.recordCancellation(job)
    }

    private fun reportViolation(rule: String, what: String) {
        violations.add("$rule: $what")
    }

    /** A task has its image and is on its machine from now. */
    fun recordTaskStart(
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
        roomAvailableSince.keys.removeIf { it.first == job }
        val spec =
            specs[job]
                ?: return reportViolation("invented", "$job/$task runs and nobody submitted it")
        val own = locations.getOrPut(job) { HashMap() }
        if (spec.kind == JobKind.GANG) checkEarlierAttempts(spec, task, zone, attempt, own)
        else startedJobs.add(job)
        own[task]?.let { reportViolation("ran_twice", "$job/$task on ${it.machine} and $machine") }
        if (spec.types != null && type !in spec.types)
            reportViolation("wrong_place", "$job on $type")
        if (spec.zone != null && zone != spec.zone) reportViolation("wrong_place", "$job in $zone")
        if (spot && !spec.spot) reportViolation("wrong_place", "$job on a spot machine")
        if (spec.oneZone && own.values.any { it.zone != zone }) {
            reportViolation("wrong_place", "$job in two zones")
        }
        if (spec.spread && own.values.count { it.zone == zone } >= spec.zoneLimit) {
            reportViolation("wrong_place", "too much of $job in $zone")
        }
        val cancelled = cancellationReports[job]
        if (cancelled != null) startsAfterCancel++
        if (cancelled != null && now - cancelled > cancelTime)
            reportViolation("ran_cancelled", "$job starts")
        own[task] = TaskLocation(machine, zone, attempt)
        checkQuota(spec.team)
    }

    /** What is left of another attempt keeps its task, and its zone where all must be in one. */
    private fun checkEarlierAttempts(
        spec: JobSpec,
        task: Int,
        zone: String,
        attempt: Int,
        own: Map<Int, TaskLocation>,
    ) {
        for ((other, place) in own) {
            if (place.attempt == attempt) continue
            if (other == task || (spec.oneZone && place.zone != zone)) {
                val old = "/$other try ${place.attempt} on ${place.machine} in ${place.zone}"
                reportViolation(
                    "gang_over_remains",
                    "${spec.id}/$task try $attempt in $zone over $old",
                )
            }
        }
    }

    /** Times that a gang began to run. */
    var gangStarts = 0
        private set

    /** All of a gang run from now: these are its tasks. */
    fun recordGangStart(job: String, attempt: Int, tasks: Set<Int>) {
        gangStarts++
        startedJobs.add(job)
        val spec = specs[job] ?: return
        val there = locations[job].orEmpty().filterValues { it.attempt == attempt }.keys
        if (tasks.size < spec.tasks || !there.containsAll(tasks))
            reportViolation(
                "gang_part",
                "$job try $attempt begins with $tasks, on machines are $there",
            )
    }

    private fun checkQuota(team: String) {
        val used =
            locations.entries.sumOf { (job, tasks) ->
                val spec = specs.getValue(job)
                if (spec.team == team) spec.cpus * tasks.size else 0.0
            }
        val limit = teams[team]?.cpusMax ?: 0.0
        if (used > limit && abs(used - limit) > 1e-6)
            reportViolation("quota", "$team uses $used of $limit: ${locationsOfTeam(team)}")
    }

    private fun locationsOfTeam(team: String) =
        locations
            .filterKeys { specs.getValue(it).team == team }
            .map { (job, own) -> job + own.map { "/${it.key}@${it.value.machine}" } }

    fun recordTaskEnd(job: String, task: Int, machine: String, done: Boolean) {
        val before = job in specs && allDone(job)
        val first = done && completedTasks.getOrPut(job) { HashSet() }.add(task) && !before
        locations[job]?.let { if (it[task]?.machine == machine) it.remove(task) }
        if (first && isAccepted(job) && job !in cancelRequests && allDone(job)) onAllTasksDone(job)
    }

    val hasReportedCancellation: Boolean
        get() = cancellationReports.isNotEmpty()

    /** Commands to start that were decided after their user was told of the cancellation. */
    var startCommandsAfterCancel = 0
        private set

    /**
     * A controller decides to send an command to start. None may be sent once the user was told
     * cancelled, but for what a leader did not know yet when it placed the task: it hears of it, or
     * is none any more, within its lease. What was decided before is on its way, and its time is
     * that of [recordTaskStart].
     */
    fun recordStartCommand(now: Micros, job: String, command: String) {
        val cancelled = cancellationReports[job] ?: return
        startCommandsAfterCancel++
        if (now - cancelled > CANCELLATION_PROPAGATION_TIME) {
            reportViolation(
                "started_cancelled",
                "$command, ${(now - cancelled).inSeconds} s after it was told",
            )
        }
    }

    /** What a job gets that can't run or lacks a field; anything but 2xx and 4xx may be retried. */
    fun recordInvalidJobAnswer(job: String, expected: Int, status: Int, body: String) {
        if (status in 200..299) reportViolation("accepted_bad", "$job, $status for $body")
        else if (status != expected && status in 400..499 && status != 429)
            reportViolation("wrong_answer", "$job, $status for $body")
    }

    /** The answer to a submission again: 200 with the state now, if its user was told before. */
    fun recordRepeatedSubmission(
        now: Micros,
        job: String,
        status: Int,
        state: String?,
        askedAt: Micros,
    ) {
        val known = reportedJobs[job]?.acceptedAt?.let { it <= askedAt } == true
        recordAnswer(now, job, "POST", status, state, askedAt)
        if (known && status == 201) reportViolation("wrong_answer", "$job is accepted once more")
        if (status == 200 && state !in jobStates) reportViolation("wrong_answer", "$job is $state")
    }

    /** Its user was told so; one who was not does not ask about it either. */
    private fun isAccepted(job: String) = reportedJobs[job]?.acceptedAt != null

    fun runningJobsNotCancelled(): List<String> =
        locations
            .filter { it.value.isNotEmpty() && it.key !in cancelRequests && isAccepted(it.key) }
            .keys
            .sorted()

    fun machinesOf(job: String): List<String> =
        locations[job].orEmpty().toSortedMap().values.map { it.machine }

    private fun acceptedJobs(isFinished: Boolean) =
        reportedJobs
            .filter { it.value.acceptedAt != null && (it.value.finalState != null) == isFinished }
            .keys
            .filter { it in specs }
            .sorted()

    fun openJobs(): List<String> = acceptedJobs(isFinished = false)

    fun finishedJobs(): List<String> = acceptedJobs(isFinished = true)

    /** Since when a machine has had room for a waiting job, with no task of it started. */
    private val roomAvailableSince = HashMap<Pair<String, String>, Micros>()

    /**
     * Called about once a second while there are no troubles, with the machines that are well and
     * with all there are.
     */
    fun checkWaitingJobs(now: Micros, healthy: List<MachineView>, all: List<MachineView>) {
        val used = HashMap<String, Double>()
        val held = HashMap<String, MutableList<Pair<Int, String>>>()
        for (machine in all) for ((job, task) in machine.tasks) {
            val spec = specs[job] ?: continue
            used.merge(spec.team, spec.cpus, Double::plus)
            held.getOrPut(job) { ArrayList() }.add(task to machine.zone)
        }
        val jobsWithRoom = HashSet<Pair<String, String>>()
        for (job in openJobs()) {
            if (job in cancelRequests) continue
            val spec = specs.getValue(job)
            val own = held[job].orEmpty()
            val waiting =
                (0 until spec.tasks) - own.map { it.first }.toSet() - completedTasks[job].orEmpty()
            if (waiting.isEmpty()) continue
            // A group and a service need room for all that waits of them.
            val tasksTogether = if (spec.kind == JobKind.ARRAY) 1 else waiting.size
            val need = spec.cpus * tasksTogether
            val limit = teams[spec.team]?.cpusMax ?: 0.0
            if ((used[spec.team] ?: 0.0) + need > limit + 1e-6) continue
            for (machine in healthy) if (fits(spec, machine, own, tasksTogether))
                jobsWithRoom.add(job to machine.id)
        }
        roomAvailableSince.keys.retainAll(jobsWithRoom)
        for (pair in jobsWithRoom) {
            val since = roomAvailableSince.getOrPut(pair) { now }
            if (now - since <= LONGEST_WAIT_WITH_ROOM) continue
            reportViolation("left_waiting", "${pair.first} beside ${pair.second} since $since")
            roomAvailableSince[pair] = now
        }
    }

    private fun fits(
        spec: JobSpec,
        machine: MachineView,
        own: List<Pair<Int, String>>,
        tasksTogether: Int,
    ): Boolean =
        machine.freeCpus + 1e-6 >= spec.cpus * tasksTogether &&
            (spec.types == null || machine.type in spec.types) &&
            (spec.zone == null || machine.zone == spec.zone) &&
            (spec.spot || !machine.spot) &&
            (!spec.oneZone || own.all { it.second == machine.zone }) &&
            (!spec.spread ||
                own.count { it.second == machine.zone } + tasksTogether <= spec.zoneLimit)

    /** Between events: what has been on a machine for too long. */
    fun checkCancelledJobs(now: Micros) {
        for ((job, at) in cancellationReports) {
            if (now - at > cancelTime && locations[job]?.isNotEmpty() == true) {
                reportViolation("ran_cancelled", "$job is still on a machine")
            }
        }
    }

    /**
     * A user got an answer about a job, to what it asked at [askedAt]. Answers may overtake each
     * other on their way, so one is held against what was known when its question was sent.
     */
    fun recordAnswer(
        now: Micros,
        job: String,
        call: String,
        status: Int,
        state: String?,
        askedAt: Micros = now,
    ) {
        val known = reportedJobs.getOrPut(job) { ReportedJob() }
        if (status == 200 || status == 201) {
            if (job !in specs)
                return reportViolation("invented", "$call of $job is answered $status")
            if (known.acceptedAt == null) known.acceptedAt = now
        }
        val accepted = known.acceptedAt?.let { it <= askedAt } == true
        if (accepted && (status == 400 || status == 404 || status == 422)) {
            reportViolation("forgotten", "$call of $job is answered $status")
        }
        if (status != 200 && status != 201) return
        val before = known.finalState
        val isCertain = known.finalAt <= askedAt || state == "cancelled" || state == "done"
        if (before != null && state != before && isCertain)
            reportViolation("went_back", "$job was $before, now is $state")
        if (before == null && (state == "cancelled" || state == "done")) {
            known.finalState = state
            known.finalAt = now
        }
        if (state == "cancelled") {
            if (job !in cancelRequests) reportViolation("went_back", "$job is cancelled by nobody")
            cancellationReports.putIfAbsent(job, now)
        }
        if (state == "done" && !allDone(job)) reportViolation("not_done", job)
    }

    fun recordPoll(now: Micros, job: String, succeeded: Boolean) {
        if (!succeeded) return
        val known = reportedJobs.getOrPut(job) { ReportedJob() }
        if (now - known.lastAnsweredAt > LONGEST_TIME_UNANSWERED)
            known.unansweredPeriods.add(known.lastAnsweredAt to now)
        known.lastAnsweredAt = now
    }

    /**
     * With all troubles over since [faultsEndedAt]: every accepted job is still known, whatever
     * becomes of the others, and of those that nobody cancelled at least half of each class, of
     * each team and of the largest of each class was served; the largest began within four minutes.
     */
    fun checkAtEnd(now: Micros, faultsEndedAt: Micros) {
        val accepted = reportedJobs.filter { it.value.acceptedAt != null && it.key in specs }
        for ((job, known) in accepted) {
            val since =
                maxOf(known.lastAnsweredAt, faultsEndedAt, known.acceptedAt ?: faultsEndedAt)
            val unanswered =
                known.unansweredPeriods.map {
                    it.second - maxOf(it.first, unansweredFrom(known, faultsEndedAt))
                }
            if (
                now - since > LONGEST_TIME_UNANSWERED ||
                    unanswered.any { it > LONGEST_TIME_UNANSWERED }
            )
                reportViolation("forgotten", "no question about $job is answered")
        }
        val longAccepted =
            accepted
                .filter { (job, known) ->
                    job !in cancelRequests && now - (known.acceptedAt ?: now) > LONGEST_START_DELAY
                }
                .keys
                .map { specs.getValue(it) }
        val byClass = longAccepted.groupBy { it.jobClass }
        for ((name, jobs) in byClass) checkHalfStarted("class $name", jobs)
        for ((name, jobs) in longAccepted.groupBy { it.team }) checkHalfStarted("team $name", jobs)
        for ((name, jobs) in byClass) {
            val largest = jobs.sortedByDescending { it.tasks }.take((jobs.size + 4) / 5)
            checkHalfStarted("largest of $name", largest)
            for (job in largest) {
                if (job.id !in startedJobs)
                    reportViolation("late", "${job.id} of ${job.tasks} has not begun")
            }
        }
    }

    private fun unansweredFrom(known: ReportedJob, faultsEndedAt: Micros) =
        maxOf(faultsEndedAt, known.acceptedAt ?: faultsEndedAt)

    private fun checkHalfStarted(what: String, jobs: List<JobSpec>) {
        val startedCount = jobs.count { it.id in startedJobs }
        if (startedCount * 2 < jobs.size)
            reportViolation("served", "$startedCount of ${jobs.size} of $what")
    }

    private val startedJobs = HashSet<String>()

    fun completedTaskCount(job: String): Int = completedTasks[job]?.size ?: 0

    /** One task of a gang that is done means that all are. */
    fun allDone(job: String): Boolean {
        val spec = specs.getValue(job)
        return completedTaskCount(job) >= if (spec.kind == JobKind.GANG) 1 else spec.tasks
    }

    /** Which machine each task of [job] is on. */
    fun machineByTask(job: String): Map<Int, String> =
        locations[job].orEmpty().mapValues { it.value.machine }

    /** The attempts of which tasks of [job] are on machines. */
    fun attemptsOnMachines(job: String): Set<Int> =
        locations[job].orEmpty().values.map { it.attempt }.toSet()

    /** When a user was first told that [job] is cancelled. */
    fun cancellationReportedAt(job: String): Micros? = cancellationReports[job]

    fun finalStateOf(job: String): String? = reportedJobs[job]?.finalState

    companion object {
        /** Tasks may go on for as long as PROTOCOL gives them after a cancellation. */
        val CANCELLATION_SLACK = 1.seconds
        private val LONGEST_TIME_UNANSWERED = 75.seconds
        private val LONGEST_START_DELAY = 240.seconds
        private val CANCELLATION_PROPAGATION_TIME = 4.seconds
        private val LONGEST_WAIT_WITH_ROOM = 90.seconds
        private val jobStates = setOf("queued", "running", "done", "cancelled")
    }
}
