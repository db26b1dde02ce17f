package wardmux.sim

import kotlin.math.abs
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds

/** The state of a machine: its free CPUs, and the tasks (job and task number) that it holds. */
class MachineView(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val freeCpus: Double,
    val tasks: List<Pair<String, Int>>,
)

/**
 * Checks the rules at the end of PROTOCOL from outside the controllers: it compares what the
 * workers run with what users submitted, cancelled and were told.
 *
 * A task may stay on a machine for up to [cancelTime] after its user was told of the cancellation.
 */
class Invariants(teams: List<TeamQuota>, private val cancelTime: Micros) {
    private class TaskLocation(val machine: String, val zone: String, val attempt: Int)

    /** What the user of a job was told about it. */
    private class ReportedJob {
        /** "done" or "cancelled" once the user was told so, else null. */
        var finalState: String? = null

        /** When the user was first told of [finalState]. */
        var finalAt = Micros.ZERO

        /** When the user was first told that the job is accepted; null before that. */
        var acceptedAt: Micros? = null

        /** When a status request was last answered. */
        var lastAnsweredAt = Micros.ZERO

        /**
         * Periods longer than [LONGEST_TIME_UNANSWERED] in which no status request was answered.
         * They break a rule unless faults explain them, which is decided in [checkAtEnd].
         */
        val unansweredPeriods = ArrayList<Pair<Micros, Micros>>()
    }

    private val teams = teams.associateBy { it.name }
    private val specs = HashMap<String, JobSpec>()

    /** The tasks that are on machines, by job and task number. */
    private val locations = HashMap<String, HashMap<Int, TaskLocation>>()
    private val completedTasks = HashMap<String, HashSet<Int>>()
    private val reportedJobs = HashMap<String, ReportedJob>()

    /** When the user of each cancelled job was first told that it is cancelled. */
    private val cancellationReports = HashMap<String, Micros>()
    private val cancelRequests = HashSet<String>()

    /** Each broken rule as `rule: description`. */
    val violations = ArrayList<String>()

    /** The disruptions of each team, as the workers recorded them. */
    val disruptions = DisruptionCounter()

    /** Tasks that fetched their image and started on a machine. */
    var starts = 0
        private set

    /** Tasks that started after their user was told that the job is cancelled. */
    var startsAfterCancel = 0
        private set

    /** Start commands that machines carried out after the user was told of the cancellation. */
    var startsCarriedOutAfterCancel = 0
        private set

    /** A machine carries out the command to start a task of [job]. */
    fun recordStartCarriedOut(job: String) {
        if (job in cancellationReports) startsCarriedOutAfterCancel++
    }

    /** Called when the last task of an accepted job that nobody asked to cancel is done. */
    var onAllTasksDone: (String) -> Unit = {}

    /**
     * Starts of tasks whose result their machine already has, which happens when the controllers
     * lost track of what was done.
     */
    var startsOfDoneTasks = 0

    fun recordSubmission(spec: JobSpec) {
        specs[spec.id] = spec
    }

    fun recordCancelRequest(job: String) {
        cancelRequests.add(job)
        disruptions.recordCancellation(job)
    }

    private fun report(rule: String, description: String) {
        violations.add("$rule: $description")
    }

    /** A task has fetched its image and is on its machine from [now] on. */
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
            specs[job] ?: return report("invented", "$job/$task starts, but nobody submitted $job")
        val jobLocations = locations.getOrPut(job) { HashMap() }
        if (spec.kind == JobKind.GANG) checkEarlierAttempts(spec, task, zone, attempt, jobLocations)
        else startedJobs.add(job)
        jobLocations[task]?.let {
            report("ran_twice", "$job/$task starts on $machine, but is still on ${it.machine}")
        }
        if (spec.types != null && type !in spec.types)
            report("wrong_place", "$job/$task on type $type, allowed are ${spec.types}")
        if (spec.zone != null && zone != spec.zone)
            report("wrong_place", "$job/$task in zone $zone, required is ${spec.zone}")
        if (spot && !spec.spot)
            report("wrong_place", "$job/$task on spot machine $machine, but the job allows none")
        if (spec.oneZone && jobLocations.values.any { it.zone != zone })
            report("wrong_place", "$job/$task in zone $zone, expected the zone of the other tasks")
        if (spec.spread && jobLocations.values.count { it.zone == zone } >= spec.zoneLimit)
            report("wrong_place", "$job/$task in zone $zone, which has ${spec.zoneLimit} already")
        val cancelled = cancellationReports[job]
        if (cancelled != null) startsAfterCancel++
        if (cancelled != null && now - cancelled > cancelTime)
            report(
                "ran_cancelled",
                "$job/$task starts at $now, was reported cancelled at $cancelled",
            )
        jobLocations[task] = TaskLocation(machine, zone, attempt)
        checkQuota(spec.team)
    }

    /**
     * A task of a gang may not start while the same task of another attempt is still on a machine,
     * nor, if the gang must be in one zone, while any task of another attempt is in another zone.
     */
    private fun checkEarlierAttempts(
        spec: JobSpec,
        task: Int,
        zone: String,
        attempt: Int,
        jobLocations: Map<Int, TaskLocation>,
    ) {
        for ((other, place) in jobLocations) {
            if (place.attempt == attempt) continue
            if (other == task || (spec.oneZone && place.zone != zone)) {
                val old = "/$other try ${place.attempt} is on ${place.machine} in ${place.zone}"
                report(
                    "gang_over_remains",
                    "${spec.id}/$task try $attempt starts in $zone while $old",
                )
            }
        }
    }

    /** How often a gang started to run with all its tasks. */
    var gangStarts = 0
        private set

    /** All of the gang [job] starts to run now; [tasks] are the numbers of its tasks. */
    fun recordGangStart(job: String, attempt: Int, tasks: Set<Int>) {
        gangStarts++
        startedJobs.add(job)
        val spec = specs[job] ?: return
        val onMachines = locations[job].orEmpty().filterValues { it.attempt == attempt }.keys
        if (tasks.size < spec.tasks || !onMachines.containsAll(tasks))
            report(
                "gang_part",
                "$job try $attempt starts with $tasks of ${spec.tasks}, machines have $onMachines",
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
            report("quota", "$team uses $used CPUs, limit is $limit: ${locationsOfTeam(team)}")
    }

    private fun locationsOfTeam(team: String) =
        locations
            .filterKeys { specs.getValue(it).team == team }
            .map { (job, own) -> job + own.map { "/${it.key}@${it.value.machine}" } }

    /** A task leaves [machine]; [done] says whether it completed its work. */
    fun recordTaskEnd(job: String, task: Int, machine: String, done: Boolean) {
        val before = job in specs && allDone(job)
        val first = done && completedTasks.getOrPut(job) { HashSet() }.add(task) && !before
        locations[job]?.let { if (it[task]?.machine == machine) it.remove(task) }
        if (first && isAccepted(job) && job !in cancelRequests && allDone(job)) onAllTasksDone(job)
    }

    /** True once any user was told that a job is cancelled. */
    val hasReportedCancellation: Boolean
        get() = cancellationReports.isNotEmpty()

    /** Start commands that a controller decided on after the user was told of the cancellation. */
    var startCommandsAfterCancel = 0
        private set

    /**
     * A controller decides to send the start command [command] for a task of [job].
     *
     * No start may be decided once the user was told that the job is cancelled, except by a leader
     * that did not know of it yet when it placed the task. Such a leader learns of the cancellation
     * or loses its leadership within its lease. A command decided earlier may still be in flight,
     * and [recordTaskStart] bounds when it may take effect.
     */
    fun recordStartCommand(now: Micros, job: String, command: String) {
        val cancelled = cancellationReports[job] ?: return
        startCommandsAfterCancel++
        if (now - cancelled > CANCELLATION_PROPAGATION_TIME)
            report(
                "started_cancelled",
                "$command ${(now - cancelled).inSeconds} s after the cancellation was reported",
            )
    }

    /**
     * The answer to the submission of a job that can't run or lacks a field. It must be [expected]
     * or 429; statuses other than 2xx and 4xx are allowed because the user may retry.
     */
    fun recordInvalidJobAnswer(job: String, expected: Int, status: Int, body: String) {
        if (status in 200..299) {
            report("accepted_bad", "$job is answered $status, expected $expected, for $body")
        } else if (status != expected && status in 400..499 && status != 429)
            report("wrong_answer", "$job is answered $status, expected $expected, for $body")
    }

    /**
     * The answer to a repeated submission. If the user was told before [askedAt] that the job is
     * accepted, it must be 200 with the current state.
     */
    fun recordRepeatedSubmission(
        now: Micros,
        job: String,
        status: Int,
        state: String?,
        askedAt: Micros,
    ) {
        val known = reportedJobs[job]?.acceptedAt?.let { it <= askedAt } == true
        recordAnswer(now, job, "POST", status, state, askedAt)
        if (known && status == 201)
            report("wrong_answer", "repeated submission of $job is answered 201, expected 200")
        if (status == 200 && state !in jobStates)
            report("wrong_answer", "repeated submission of $job is answered $state")
    }

    /** Whether the user was told that [job] is accepted; before that no user polls its status. */
    private fun isAccepted(job: String) = reportedJobs[job]?.acceptedAt != null

    /** Accepted jobs that nobody asked to cancel and that have tasks on machines. */
    fun runningJobsNotCancelled(): List<String> =
        locations
            .filter { it.value.isNotEmpty() && it.key !in cancelRequests && isAccepted(it.key) }
            .keys
            .sorted()

    /** The machines that hold the tasks of [job], in the order of the tasks. */
    fun machinesOf(job: String): List<String> =
        locations[job].orEmpty().toSortedMap().values.map { it.machine }

    private fun acceptedJobs(isFinished: Boolean) =
        reportedJobs
            .filter { it.value.acceptedAt != null && (it.value.finalState != null) == isFinished }
            .keys
            .filter { it in specs }
            .sorted()

    /** Accepted jobs whose user was not told of a final state yet. */
    fun openJobs(): List<String> = acceptedJobs(isFinished = false)

    /** Accepted jobs whose user was told that they are done or cancelled. */
    fun finishedJobs(): List<String> = acceptedJobs(isFinished = true)

    /**
     * By job and machine: since when the machine has had room for the waiting job while no task of
     * the job started.
     */
    private val roomAvailableSince = HashMap<Pair<String, String>, Micros>()

    /**
     * Checks that no job waits for too long while a machine has room for it. Called about once a
     * second while there are no faults.
     *
     * @param healthy the machines on which waiting tasks could be started
     * @param all all machines, including those that are not healthy
     */
    fun checkWaitingJobs(now: Micros, healthy: List<MachineView>, all: List<MachineView>) {
        val usedCpus = HashMap<String, Double>()
        val heldTasks = HashMap<String, MutableList<Pair<Int, String>>>()
        for (machine in all) for ((job, task) in machine.tasks) {
            val spec = specs[job] ?: continue
            usedCpus.merge(spec.team, spec.cpus, Double::plus)
            heldTasks.getOrPut(job) { ArrayList() }.add(task to machine.zone)
        }
        val jobsWithRoom = HashSet<Pair<String, String>>()
        for (job in openJobs()) {
            if (job in cancelRequests) continue
            val spec = specs.getValue(job)
            val jobTasks = heldTasks[job].orEmpty()
            val waiting =
                (0 until spec.tasks) -
                    jobTasks.map { it.first }.toSet() -
                    completedTasks[job].orEmpty()
            if (waiting.isEmpty()) continue
            // Gangs and services need room for all their waiting tasks at once.
            val tasksTogether = if (spec.kind == JobKind.ARRAY) 1 else waiting.size
            val neededCpus = spec.cpus * tasksTogether
            val limit = teams[spec.team]?.cpusMax ?: 0.0
            if ((usedCpus[spec.team] ?: 0.0) + neededCpus > limit + 1e-6) continue
            for (machine in healthy) if (fits(spec, machine, jobTasks, tasksTogether))
                jobsWithRoom.add(job to machine.id)
        }
        roomAvailableSince.keys.retainAll(jobsWithRoom)
        for (pair in jobsWithRoom) {
            val since = roomAvailableSince.getOrPut(pair) { now }
            if (now - since <= LONGEST_WAIT_WITH_ROOM) continue
            report(
                "left_waiting",
                "${pair.first} waits, but ${pair.second} has had room since $since",
            )
            roomAvailableSince[pair] = now
        }
    }

    /**
     * Whether [machine] has room for [tasksTogether] more tasks of [spec], whose placed tasks
     * [jobTasks] are given by number and zone.
     */
    private fun fits(
        spec: JobSpec,
        machine: MachineView,
        jobTasks: List<Pair<Int, String>>,
        tasksTogether: Int,
    ): Boolean =
        machine.freeCpus + 1e-6 >= spec.cpus * tasksTogether &&
            (spec.types == null || machine.type in spec.types) &&
            (spec.zone == null || machine.zone == spec.zone) &&
            (spec.spot || !machine.spot) &&
            (!spec.oneZone || jobTasks.all { it.second == machine.zone }) &&
            (!spec.spread ||
                jobTasks.count { it.second == machine.zone } + tasksTogether <= spec.zoneLimit)

    /**
     * Checks that no task is on a machine for more than [cancelTime] after its user was told of the
     * cancellation. Called between the events of a simulation.
     */
    fun checkCancelledJobs(now: Micros) {
        for ((job, at) in cancellationReports) {
            if (now - at > cancelTime && locations[job]?.isNotEmpty() == true)
                report("ran_cancelled", "$job is still on a machine, was reported cancelled at $at")
        }
    }

    /**
     * A user receives the answer [status] with [state] to the request [call] that was sent at
     * [askedAt]. Answers may overtake each other in the network, so each is compared with what the
     * user knew when the request was sent.
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
            if (job !in specs) {
                return report(
                    "invented",
                    "$call of $job is answered $status, but nobody submitted it",
                )
            }
            if (known.acceptedAt == null) known.acceptedAt = now
        }
        val accepted = known.acceptedAt?.let { it <= askedAt } == true
        if (accepted && (status == 400 || status == 404 || status == 422))
            report("forgotten", "$call of accepted $job is answered $status")
        if (status != 200 && status != 201) return
        val before = known.finalState
        // A state that is not final may come from an answer overtaken by that of the final state.
        val isCertain = known.finalAt <= askedAt || state == "cancelled" || state == "done"
        if (before != null && state != before && isCertain)
            report("went_back", "$call of $job is answered $state, was reported $before")
        if (before == null && (state == "cancelled" || state == "done")) {
            known.finalState = state
            known.finalAt = now
        }
        if (state == "cancelled") {
            if (job !in cancelRequests)
                report("went_back", "$job is cancelled, but nobody asked to cancel it")
            cancellationReports.putIfAbsent(job, now)
        }
        if (state == "done" && !allDone(job))
            report("not_done", "$job is reported done, but not all its tasks completed")
    }

    /** A status request for [job] was answered with 200, or failed if [succeeded] is false. */
    fun recordPoll(now: Micros, job: String, succeeded: Boolean) {
        if (!succeeded) return
        val known = reportedJobs.getOrPut(job) { ReportedJob() }
        if (now - known.lastAnsweredAt > LONGEST_TIME_UNANSWERED)
            known.unansweredPeriods.add(known.lastAnsweredAt to now)
        known.lastAnsweredAt = now
    }

    /**
     * Checks at the end of a scenario without faults since [faultsEndedAt] that
     * - status requests for every accepted job were answered, with no gap longer than
     *   [LONGEST_TIME_UNANSWERED] outside the time of the faults;
     * - of the jobs that nobody asked to cancel and that were accepted more than four minutes ago,
     *   at least half of each class, of each team and of the largest fifth of each class started;
     * - all of the largest fifth of each class started.
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
                report("forgotten", "no status request for $job was answered for too long")
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
                    report("late", "${job.id} with ${job.tasks} tasks has not started")
            }
        }
    }

    /** From when on a status request for the job must be answered. */
    private fun unansweredFrom(known: ReportedJob, faultsEndedAt: Micros) =
        maxOf(faultsEndedAt, known.acceptedAt ?: faultsEndedAt)

    private fun checkHalfStarted(group: String, jobs: List<JobSpec>) {
        val startedCount = jobs.count { it.id in startedJobs }
        if (startedCount * 2 < jobs.size)
            report("served", "$startedCount of ${jobs.size} jobs of $group started, expected half")
    }

    /** Jobs of which a task ran; gangs count once all their tasks run. */
    private val startedJobs = HashSet<String>()

    /** How many different tasks of [job] completed. */
    fun completedTaskCount(job: String): Int = completedTasks[job]?.size ?: 0

    /** Whether all tasks of [job] completed; a gang's tasks complete together, so one is enough. */
    fun allDone(job: String): Boolean {
        val spec = specs.getValue(job)
        return completedTaskCount(job) >= if (spec.kind == JobKind.GANG) 1 else spec.tasks
    }

    /** The machine that each task of [job] is on, by task number. */
    fun machineByTask(job: String): Map<Int, String> =
        locations[job].orEmpty().mapValues { it.value.machine }

    /** The attempts to which the tasks of [job] on machines belong. */
    fun attemptsOnMachines(job: String): Set<Int> =
        locations[job].orEmpty().values.map { it.attempt }.toSet()

    /** When a user was first told that [job] is cancelled, or null if no user was. */
    fun cancellationReportedAt(job: String): Micros? = cancellationReports[job]

    /** "done" or "cancelled" if the user of [job] was told so, else null. */
    fun finalStateOf(job: String): String? = reportedJobs[job]?.finalState

    companion object {
        /**
         * Added to the time for which PROTOCOL allows tasks to continue after their cancellation.
         */
        val CANCELLATION_SLACK = 1.seconds

        /** Status requests for an accepted job must be answered within this time. */
        private val LONGEST_TIME_UNANSWERED = 75.seconds

        /** Jobs accepted for longer than this count as jobs that should have started. */
        private val LONGEST_START_DELAY = 240.seconds

        /** How long a leader may still decide to start tasks of a job reported as cancelled. */
        private val CANCELLATION_PROPAGATION_TIME = 4.seconds

        /** How long a job may wait while a machine has room for it. */
        private val LONGEST_WAIT_WITH_ROOM = 90.seconds
        private val jobStates = setOf("queued", "running", "done", "cancelled")
    }
}
