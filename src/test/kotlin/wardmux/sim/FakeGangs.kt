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
    val hanging: Boolean

    fun begin()

    fun exit(cause: String, kept: Boolean)
}

/** How the tasks of gangs find each other across all machines, run, and end together. */
class FakeGangs(
    private val clock: SimulatedClock,
    private val invariants: Invariants,
    waitS: Double = 35.0,
    peerS: Double = 6.0,
) {
    private val longestWait = waitS.seconds
    private val peerTime = peerS.seconds
    private val attempts = LinkedHashMap<Pair<String, Int>, Attempt>()

    /** How long each gang runs in all; drawn when its first task joins, unless it is set before. */
    val lengths = HashMap<String, Micros>()
    private val saved = HashMap<String, Micros>()
    private val done = HashSet<String>()

    /** Ends of tasks by their cause. */
    val causes = sortedMapOf<String, Int>()
    private val ends = HashMap<String, ArrayList<String>>()

    /**
     * How the tasks of [job] that had their image ended by themselves or were stopped, in order.
     */
    fun endsOf(job: String): List<String> = ends[job].orEmpty()

    /** An attempt of [job] was told to save and has not lost its save. */
    fun isSaving(job: String) = attempts.any { it.key.first == job && it.value.isSaving }

    init {
        clock.every(TICK) { for (attempt in attempts.values.toList()) attempt.tick() }
    }

    fun isDone(job: String) = job in done

    /** Progress that the next attempt continues from. */
    fun savedOf(job: String): Micros = saved[job] ?: Micros.ZERO

    /** The task has its image. */
    fun join(task: GangTask, spec: JobSpec) {
        if (spec.id !in lengths) {
            lengths[spec.id] =
                clock.randomBetween(1.seconds, maxOf(1.seconds, (spec.estimateS * 1.5).seconds))
        }
        attempts
            .getOrPut(task.job to task.attempt) { Attempt(spec, task.attempt) }
            .members
            .add(Member(task, clock.now))
    }

    fun halt(task: GangTask, within: Double) {
        val attempt = attempts[task.job to task.attempt] ?: return
        attempt.members.find { it.task === task }?.let { attempt.halt(it, within) }
    }

    /** The task is no longer on its machine, whatever the cause. */
    fun gone(task: GangTask) {
        val attempt = attempts[task.job to task.attempt] ?: return
        val member = attempt.members.find { it.task === task } ?: return
        attempt.members.remove(member)
        attempt.left(member)
        if (attempt.members.isEmpty()) attempts.remove(task.job to task.attempt)
    }

    private class Member(val task: GangTask, val since: Micros) {
        var running = false
        var hungSince: Micros? = null
        var toldAt: Micros? = null
        var exitAt = Micros.ZERO
        var cause = "peers"
    }

    private inner class Attempt(private val spec: JobSpec, private val number: Int) {
        val members = ArrayList<Member>()
        private var progress = Micros.ZERO
        private var firstHaltAt: Micros? = null

        /** It has lost a task, or its save has failed. */
        private var broken = false

        /** All were told in time. */
        private var allTold = false
        private var safe = false
        private var complete = false

        val isSaving: Boolean
            get() = firstHaltAt != null && !broken

        private fun running() = members.filter { it.running }

        fun tick() {
            gather()
            val running = running()
            if (running.isNotEmpty()) run(running)
        }

        private fun gather() {
            val gathering = members.filter { !it.running && !it.task.hanging }
            val (late, waiting) = gathering.partition { clock.now - it.since >= longestWait }
            // Those that were started while their gang runs, or is ending, wait for nothing.
            val here = waiting.distinctBy { it.task.index }
            if (here.size == spec.tasks && running().isEmpty()) return begin(here)
            for (member in late) exit(member, "alone")
        }

        private fun begin(all: List<Member>) {
            progress = savedOf(spec.id)
            firstHaltAt = null
            broken = false
            allTold = false
            safe = false
            invariants.gangBegins(spec.id, number, all.map { it.task.index }.toSet())
            for (member in all) member.running = true
            for (member in all) member.task.begin()
        }

        private fun run(running: List<Member>) {
            for (member in running) noteHang(member)
            val halted = firstHaltAt
            when {
                broken -> leave(running)
                halted != null -> save(running, halted)
                running.none { it.task.hanging } -> advance(running)
            }
        }

        private fun noteHang(member: Member) {
            if (!member.task.hanging) {
                member.hungSince = null
                return
            }
            val since = member.hungSince ?: clock.now.also { member.hungSince = it }
            // The others take it for gone, and have noticed by now.
            if (clock.now - since >= peerTime) lose { clock.now }
        }

        private fun advance(running: List<Member>) {
            progress += TICK
            if (progress < lengths.getValue(spec.id)) return
            complete = true
            done.add(spec.id)
            for (member in running) exit(member, "done")
        }

        private fun leave(running: List<Member>) {
            for (member in running) {
                if (!member.task.hanging && clock.now >= member.exitAt) exit(member, member.cause)
            }
        }

        private fun save(running: List<Member>, halted: Micros) {
            val limit = halted + peerTime
            if (running.all { (it.toldAt ?: Micros.NEVER) <= limit }) allTold = true
            if (!allTold) {
                if (clock.now >= limit) failSave(running)
                return
            }
            for (member in running) {
                if (member.task.hanging || clock.now < savedAt(member)) continue
                if (!safe) saved[spec.id] = progress
                safe = true
                exit(member, "stopped", kept = true)
            }
        }

        private fun savedAt(member: Member) = (member.toldAt ?: clock.now) + spec.saveS.seconds

        private fun failSave(running: List<Member>) {
            lose { clock.now }
            for (member in running) {
                if (member.toldAt == null) continue
                member.cause = "stopped"
                member.exitAt = maxOf(clock.now, savedAt(member))
            }
            leave(running)
        }

        /** Back to the last checkpoint; the tasks that are left exit, each at its time. */
        private fun lose(exitAt: () -> Micros) {
            if (broken || safe || complete) return
            broken = true
            if (spec.isCheckpointable) {
                val step = spec.checkpointS.seconds.value
                val checkpoint = Micros(progress.value / step * step)
                saved[spec.id] = maxOf(savedOf(spec.id), checkpoint)
            }
            for (member in running()) member.exitAt = exitAt()
        }

        fun left(member: Member) {
            if (member.running) lose { clock.now + clock.randomBetween(TICK, peerTime - TICK) }
        }

        fun halt(member: Member, within: Double) {
            val saving = member.toldAt != null
            when {
                !member.running || broken -> exit(member, "stopped")
                saving && within > 0 -> return
                !saving && spec.isCheckpointable && within >= spec.saveS -> {
                    member.toldAt = clock.now
                    if (firstHaltAt == null) firstHaltAt = clock.now
                }
                else -> exit(member, "stopped")
            }
        }

        private fun exit(member: Member, cause: String, kept: Boolean = false) {
            val how = if (kept) "kept" else cause
            causes.merge(how, 1, Int::plus)
            ends.getOrPut(spec.id) { ArrayList() }.add(how)
            member.task.exit(cause, kept)
        }
    }

    private companion object {
        val TICK = 100.milliseconds
    }
}
