package wardmux.sim

import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** A task of a gang as it is on its machine, from its image on. */
interface GangTask {
    val job: String
    val index: Int
    val attempt: Int

    /** Its machine executes nothing. */
    val isUnresponsive: Boolean

    fun startRunning()

    fun exit(cause: String, progressSaved: Boolean)
}

/** How the tasks of gangs find each other across all machines, run, and end together. */
class FakeGangs(
    private val clock: SimulatedClock,
    private val invariants: Invariants,
    gangWaitS: Double = 35.0,
    gangPeerS: Double = 6.0,
) {
    private val gatherTimeout = gangWaitS.seconds
    private val peerTimeout = gangPeerS.seconds
    private val attempts = LinkedHashMap<Pair<String, Int>, Attempt>()

    /** How long each gang runs in all; drawn when its first task joins, unless it is set before. */
    val runTimes = HashMap<String, Micros>()
    private val savedProgress = HashMap<String, Micros>()
    private val doneJobs = HashSet<String>()

    /** Ends of tasks by their cause. */
    val endCounts = sortedMapOf<String, Int>()
    private val endsByJob = HashMap<String, ArrayList<String>>()

    /**
     * How the tasks of [job] that had their image ended by themselves or were stopped, in order.
     */
    fun endsOf(job: String): List<String> = endsByJob[job].orEmpty()

    /** An attempt of [job] was told to save and has not lost its save. */
    fun isSaving(job: String) = attempts.any { it.key.first == job && it.value.isSaving }

    init {
        clock.every(TICK_PERIOD) { for (attempt in attempts.values.toList()) attempt.tick() }
    }

    fun isDone(job: String) = job in doneJobs

    /** Progress that the next attempt continues from. */
    fun savedProgressOf(job: String): Micros = savedProgress[job] ?: Micros.ZERO

    /** The task has its image. */
    fun addTask(task: GangTask, spec: JobSpec) {
        if (spec.id !in runTimes) {
            runTimes[spec.id] =
                clock.between(1.seconds, maxOf(1.seconds, (spec.estimateS * 1.5).seconds))
        }
        attempts
            .getOrPut(task.job to task.attempt) { Attempt(spec, task.attempt) }
            .members
            .add(Member(task, clock.now))
    }

    fun halt(task: GangTask, graceS: Double) {
        val attempt = attempts[task.job to task.attempt] ?: return
        attempt.members.find { it.task === task }?.let { attempt.halt(it, graceS) }
    }

    /** The task is no longer on its machine, whatever the cause. */
    fun removeTask(task: GangTask) {
        val attempt = attempts[task.job to task.attempt] ?: return
        val member = attempt.members.find { it.task === task } ?: return
        attempt.members.remove(member)
        attempt.memberRemoved(member)
        if (attempt.members.isEmpty()) attempts.remove(task.job to task.attempt)
    }

    private class Member(val task: GangTask, val joinedAt: Micros) {
        var isRunning = false
        var unresponsiveSince: Micros? = null
        var haltedAt: Micros? = null
        var exitAt = Micros.ZERO
        var exitCause = "peers"
    }

    private inner class Attempt(private val spec: JobSpec, private val number: Int) {
        val members = ArrayList<Member>()
        private var progress = Micros.ZERO
        private var firstHaltAt: Micros? = null

        /** It has lost a task, or its save has failed. */
        private var hasFailed = false

        /** All were told in time. */
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

        private fun gather() {
            val gathering = members.filter { !it.isRunning && !it.task.isUnresponsive }
            val (timedOut, waiting) =
                gathering.partition { clock.now - it.joinedAt >= gatherTimeout }
            // Those that were started while their gang runs, or is ending, wait for nothing.
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

        private fun trackUnresponsiveness(member: Member) {
            if (!member.task.isUnresponsive) {
                member.unresponsiveSince = null
                return
            }
            val since = member.unresponsiveSince ?: clock.now.also { member.unresponsiveSince = it }
            // The others take it for gone, and have noticed by now.
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

        private fun abandonSave(running: List<Member>) {
            failAttempt { clock.now }
            for (member in running) {
                if (member.haltedAt == null) continue
                member.exitCause = "stopped"
                member.exitAt = maxOf(clock.now, saveEndsAt(member))
            }
            exitDueMembers(running)
        }

        /** Back to the last checkpoint; the tasks that are left exit, each at its time. */
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

        fun memberRemoved(member: Member) {
            if (member.isRunning)
                failAttempt { clock.now + clock.between(TICK_PERIOD, peerTimeout - TICK_PERIOD) }
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
