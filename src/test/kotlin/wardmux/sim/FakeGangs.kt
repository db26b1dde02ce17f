package wardmux.sim

import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** A task of a gang on a machine that has fetched its image. */
interface GangTask {
    val job: String
    val index: Int
    val attempt: Int

    /** The machine executes nothing for now. */
    val isUnresponsive: Boolean

    /** All tasks of the gang have their images: the task changes from gathering to running. */
    fun startRunning()

    /**
     * The task ends and leaves the machine.
     *
     * @param cause the cause that the worker reports
     * @param progressSaved whether the progress of the gang was saved before
     */
    fun exit(cause: String, progressSaved: Boolean)
}

/**
 * Simulates the tasks of all gangs across all machines, as PROTOCOL describes them: they wait for
 * each other, run together and end together.
 *
 * @param gangWaitS how long a task waits for the rest of its gang, in seconds
 * @param gangPeerS after how many seconds the other tasks notice that one is gone or unresponsive,
 *   and how long a halted task waits until all others are halted too
 */
class FakeGangs(
    private val clock: SimulatedClock,
    private val invariants: Invariants,
    gangWaitS: Double = 35.0,
    gangPeerS: Double = 6.0,
) {
    private val gatherTimeout = gangWaitS.seconds
    private val peerTimeout = gangPeerS.seconds
    private val attempts = LinkedHashMap<Pair<String, Int>, Attempt>()

    /**
     * By job: how long the gang runs in all its attempts together. Drawn at random when the first
     * task is added, unless it is set before.
     */
    val runTimes = HashMap<String, Micros>()
    /** By job: the progress from which the next attempt continues. */
    private val savedProgress = HashMap<String, Micros>()
    private val doneJobs = HashSet<String>()

    /**
     * How many tasks ended by each cause; "kept" stands for an end after the progress was saved.
     */
    val endCounts = sortedMapOf<String, Int>()
    private val endsByJob = HashMap<String, ArrayList<String>>()

    /**
     * How the tasks of [job] ended that had their image, in order: the cause, or "kept" after the
     * progress was saved. Tasks that were lost with their machine are not included.
     */
    fun endsOf(job: String): List<String> = endsByJob[job].orEmpty()

    /** Whether an attempt of [job] was halted and still can save, or has saved, its progress. */
    fun isSaving(job: String) = attempts.any { it.key.first == job && it.value.isSaving }

    init {
        clock.every(TICK_PERIOD) { for (attempt in attempts.values.toList()) attempt.tick() }
    }

    /** Whether the gang [job] completed its work. */
    fun isDone(job: String) = job in doneJobs

    /** The progress from which the next attempt of [job] continues. */
    fun savedProgressOf(job: String): Micros = savedProgress[job] ?: Micros.ZERO

    /** Adds a task that has fetched its image; it gathers until its gang is complete. */
    fun addTask(task: GangTask, spec: JobSpec) {
        if (spec.id !in runTimes) {
            runTimes[spec.id] =
                clock.randomBetween(1.seconds, maxOf(1.seconds, (spec.estimateS * 1.5).seconds))
        }
        attempts
            .getOrPut(task.job to task.attempt) { Attempt(spec, task.attempt) }
            .members
            .add(Member(task, clock.now))
    }

    /** Stops the task; it may take [graceS] seconds to save its progress with its gang. */
    fun halt(task: GangTask, graceS: Double) {
        val attempt = attempts[task.job to task.attempt] ?: return
        attempt.members.find { it.task === task }?.let { attempt.halt(it, graceS) }
    }

    /** The task is no longer on its machine, for whatever reason. */
    fun removeTask(task: GangTask) {
        val attempt = attempts[task.job to task.attempt] ?: return
        val member = attempt.members.find { it.task === task } ?: return
        attempt.members.remove(member)
        attempt.memberRemoved(member)
        if (attempt.members.isEmpty()) attempts.remove(task.job to task.attempt)
    }

    /** A task of an attempt. */
    private class Member(val task: GangTask, val joinedAt: Micros) {
        var isRunning = false
        var unresponsiveSince: Micros? = null
        var haltedAt: Micros? = null

        /** When it exits after the attempt has failed, and with which cause. */
        var exitAt = Micros.ZERO
        var exitCause = "peers"
    }

    /** The tasks on machines that were started with the same attempt [number]. */
    private inner class Attempt(private val spec: JobSpec, private val number: Int) {
        val members = ArrayList<Member>()
        private var progress = Micros.ZERO
        private var firstHaltAt: Micros? = null

        /** The attempt lost a task before its progress was saved, or could not save in time. */
        private var hasFailed = false

        /** All tasks were halted before the first one gave up waiting for the others. */
        private var allHaltedInTime = false
        private var isProgressSaved = false
        private var isComplete = false

        val isSaving: Boolean
            get() = firstHaltAt != null && !hasFailed

        private fun runningMembers() = members.filter { it.isRunning }

        fun tick() {
            gather()
            val running = runningMembers()
            if (running.isNotEmpty()) advanceGang(running)
        }

        /** Starts the gang once all its tasks gather; tasks that waited too long exit. */
        private fun gather() {
            val gathering = members.filter { !it.isRunning && !it.task.isUnresponsive }
            val (timedOut, waiting) =
                gathering.partition { clock.now - it.joinedAt >= gatherTimeout }
            // Tasks started while their gang runs or ends never become part of it and time out.
            val gathered = waiting.distinctBy { it.task.index }
            if (gathered.size == spec.tasks && runningMembers().isEmpty())
                return startGang(gathered)
            for (member in timedOut) exit(member, "alone")
        }

        private fun startGang(gathered: List<Member>) {
            progress = savedProgressOf(spec.id)
            firstHaltAt = null
            hasFailed = false
            allHaltedInTime = false
            isProgressSaved = false
            invariants.recordGangStart(spec.id, number, gathered.map { it.task.index }.toSet())
            for (member in gathered) member.isRunning = true
            for (member in gathered) member.task.startRunning()
        }

        private fun advanceGang(running: List<Member>) {
            for (member in running) trackUnresponsiveness(member)
            val haltedAt = firstHaltAt
            when {
                hasFailed -> exitDueMembers(running)
                haltedAt != null -> saveProgress(running, haltedAt)
                running.none { it.task.isUnresponsive } -> advanceProgress(running)
            }
        }

        /** Fails the attempt if the task has been unresponsive for the peer timeout. */
        private fun trackUnresponsiveness(member: Member) {
            if (!member.task.isUnresponsive) {
                member.unresponsiveSince = null
                return
            }
            val since = member.unresponsiveSince ?: clock.now.also { member.unresponsiveSince = it }
            // The other tasks treat an unresponsive one as gone after this time.
            if (clock.now - since >= peerTimeout) failAttempt { clock.now }
        }

        private fun advanceProgress(running: List<Member>) {
            progress += TICK_PERIOD
            if (progress < runTimes.getValue(spec.id)) return
            isComplete = true
            doneJobs.add(spec.id)
            for (member in running) exit(member, "done")
        }

        private fun exitDueMembers(running: List<Member>) {
            for (member in running) {
                if (!member.task.isUnresponsive && clock.now >= member.exitAt)
                    exit(member, member.exitCause)
            }
        }

        /** The halted tasks save and exit once all are halted, or give up after the timeout. */
        private fun saveProgress(running: List<Member>, haltedAt: Micros) {
            val deadline = haltedAt + peerTimeout
            if (running.all { (it.haltedAt ?: Micros.NEVER) <= deadline }) allHaltedInTime = true
            if (!allHaltedInTime) {
                if (clock.now >= deadline) abandonSave(running)
                return
            }
            for (member in running) {
                if (member.task.isUnresponsive || clock.now < saveEndsAt(member)) continue
                if (!isProgressSaved) savedProgress[spec.id] = progress
                isProgressSaved = true
                exit(member, "stopped", progressSaved = true)
            }
        }

        private fun saveEndsAt(member: Member) = (member.haltedAt ?: clock.now) + spec.saveS.seconds

        /** Not all tasks were halted in time, so nothing is saved beyond the last checkpoint. */
        private fun abandonSave(running: List<Member>) {
            failAttempt { clock.now }
            for (member in running) {
                if (member.haltedAt == null) continue
                member.exitCause = "stopped"
                member.exitAt = maxOf(clock.now, saveEndsAt(member))
            }
            exitDueMembers(running)
        }

        /** Falls back to the last checkpoint; the remaining tasks exit, each at its [exitAt]. */
        private fun failAttempt(exitAt: () -> Micros) {
            if (hasFailed || isProgressSaved || isComplete) return
            hasFailed = true
            if (spec.isCheckpointable) {
                val step = spec.checkpointS.seconds.value
                val checkpoint = Micros(progress.value / step * step)
                savedProgress[spec.id] = maxOf(savedProgressOf(spec.id), checkpoint)
            }
            for (member in runningMembers()) member.exitAt = exitAt()
        }

        /** A task left its machine; if it was running, the attempt fails. */
        fun memberRemoved(member: Member) {
            if (member.isRunning)
                failAttempt {
                    clock.now + clock.randomBetween(TICK_PERIOD, peerTimeout - TICK_PERIOD)
                }
        }

        fun halt(member: Member, graceS: Double) {
            val isHalted = member.haltedAt != null
            when {
                !member.isRunning || hasFailed -> exit(member, "stopped")
                isHalted && graceS > 0 -> return
                !isHalted && spec.isCheckpointable && graceS >= spec.saveS -> {
                    member.haltedAt = clock.now
                    if (firstHaltAt == null) firstHaltAt = clock.now
                }
                else -> exit(member, "stopped")
            }
        }

        private fun exit(member: Member, cause: String, progressSaved: Boolean = false) {
            val end = if (progressSaved) "kept" else cause
            endCounts.merge(end, 1, Int::plus)
            endsByJob.getOrPut(spec.id) { ArrayList() }.add(end)
            member.task.exit(cause, progressSaved)
        }
    }

    private companion object {
        val TICK_PERIOD = 100.milliseconds
    }
}
