package wardmux.scheduling

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap
import wardmux.config.TeamQuota
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobPhase
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.model.seconds

/**
 * What the leader knows of jobs, machines and who is where. Whatever may be on a machine counts
 * against its room and its team's cap until it is proven gone.
 */
class ClusterState(private val context: CoreContext, teams: List<TeamQuota>, val queue: FairQueue) {
    private val log = logger<ClusterState>()
    val teams = teams.associateBy { it.name }
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()
    val estimates = Estimates()

    /** Read from records, on machines that have not been heard of yet. */
    private val unplaced = HashMap<MachineId, LinkedHashSet<Placement>>()

    /** How many orphans of each job there are on all machines. */
    private val orphanCounts = HashMap<JobId, Int>()

    /** Machines that may have orders to be sent to them directly. */
    val machinesWithCommands = LinkedHashSet<Machine>()

    /** Operators' drains are not over: only these move what would run on elsewhere. */
    var hasDrains = false

    /** Counts the jobs that were found cancelled. */
    var cancelled = 0L
        private set

    /** Counts what may let a waiting task start; a plan that found nothing is not made again. */
    var changes = 0L
        private set

    private val cpus = Object2DoubleOpenHashMap<String>()
    private val gpus = Object2DoubleOpenHashMap<String>()

    fun usedCpus(team: String) = cpus.getDouble(team)

    /** How many more tasks like this the team's cap allows, once one like [beside] has started. */
    fun headroom(spec: JobSpec, beside: JobSpec? = null): Int {
        val team = teams[spec.team] ?: return 0
        val slack = MachineType.EPSILON
        val byCpu =
            if (spec.cpus > 0) {
                val used = cpus.getDouble(spec.team) + (beside?.cpus ?: 0.0)
                (team.cpusMax - used + slack) / spec.cpus
            } else Double.MAX_VALUE
        val byGpu =
            if (spec.gpus > 0) {
                val used = gpus.getDouble(spec.team) + (beside?.gpus ?: 0.0)
                (team.gpusMax - used + slack) / spec.gpus
            } else Double.MAX_VALUE
        return minOf(byCpu, byGpu, 1e6).toInt().coerceAtLeast(0)
    }

    /** Room and cap are taken by orphans too: tasks that a machine reports without a record. */
    fun book(spec: JobSpec, sign: Int) {
        cpus.addTo(spec.team, sign * spec.cpus)
        gpus.addTo(spec.team, sign * spec.gpus)
    }

    fun place(job: Job, task: Int, machine: Machine): Placement {
        val cost = cost(job.spec, estimates.runTime(job.spec))
        val charge = queue.charge(job.spec.team, cost, context.wallTime)
        val placement =
            Placement(
                job,
                TaskId(job.id, task),
                job.nextAttempt(task),
                machine.id,
                machine.incarnation,
                machine.zone,
                charge,
            )
        job.place(placement, context.wallTime)
        restore(placement, machine)
        machine.useImage(job.spec.image, job.spec.imageGb, context.now)
        return placement
    }

    /** A placement read from a record. */
    fun restore(placement: Placement, machine: Machine?) {
        if (machine != null) {
            machine.add(placement)
            machinesWithCommands.add(machine)
        } else {
            unplaced.getOrPut(placement.machine) { LinkedHashSet() }.add(placement)
        }
        book(placement.job.spec, 1)
    }

    /** A machine is heard of; what the records say of it was read before. */
    fun add(machine: Machine) {
        machines[machine.id] = machine
        unplaced.remove(machine.id)?.forEach { machine.add(it) }
        changed()
    }

    /** Machines that records name and that nothing else has told of. */
    fun unheardOf(): Set<MachineId> = unplaced.keys

    /** All that may be on the machine, whether it has been heard of or not. */
    fun placementsOn(id: MachineId): Collection<Placement> =
        machines[id]?.placements?.values ?: unplaced[id].orEmpty()

    fun holdsCancelled(id: MachineId) = unplaced[id].orEmpty().any { it.job.isCancelled }

    /** Something happened that may let a waiting task start. */
    fun changed() {
        changes++
    }

    /** Its user may have been told from [since] on that the job is cancelled. */
    fun cancel(job: Job, since: Micros) {
        if (!job.hasEnded) {
            job.phase = JobPhase.CANCELLED
            job.cancelledSince = since
            cancelled++
        }
        end(job)
    }

    /** The job's record says done. */
    fun finish(job: Job) {
        job.phase = JobPhase.DONE
        end(job)
    }

    /** Nothing of the job is to go on: what is left of it is taken down. */
    private fun end(job: Job) {
        for (placement in job.placements.values) machines[placement.machine]?.let {
            machinesWithCommands.add(it)
        }
    }

    /** The placement is proven gone from its machine. */
    fun release(placement: Placement, why: String) {
        if (placement.job.placements.get(placement.task.index) !== placement) return
        log.debug(
            "{} try {} is off {}: {}",
            placement.task,
            placement.attempt,
            placement.machine,
            why,
        )
        unbook(placement)
        placement.job.release(placement, context.wallTime)
        val gang = placement.job.gang
        if (gang != null && gang.ran && !placement.job.allTasksDone) breakAttempt(placement.job)
        changed()
    }

    /**
     * Nothing comes of the gang's attempt any more. What is left of it is stopped: its tasks would
     * find out by themselves, but later.
     */
    fun breakAttempt(job: Job) {
        val gang = job.gang ?: return
        gang.broken = true
        for (placement in job.placements.values) {
            if (placement.gracePeriod == Micros.ZERO) continue
            placement.gracePeriod = Micros.ZERO
            placement.stopSent = false
            machines[placement.machine]?.let { machinesWithCommands.add(it) }
        }
    }

    /** The placement's record was surely not written. */
    fun undo(placement: Placement) {
        if (placement.job.placements.get(placement.task.index) !== placement) return
        unbook(placement)
        queue.undo(placement.job.spec.team, placement.charge, context.wallTime)
        placement.job.undo(placement, context.wallTime)
        changed()
    }

    private fun unbook(placement: Placement) {
        val machine = machines[placement.machine]
        if (machine != null) machine.remove(placement, context.now) else forgetUnplaced(placement)
        val image = placement.job.spec.image
        if (placement.runningSince == null && machine?.needs(image) == false) {
            machine.fetchGivenUp(image, context.now)
        }
        book(placement.job.spec, -1)
    }

    private fun forgetUnplaced(placement: Placement) {
        val there = unplaced[placement.machine] ?: return
        there.remove(placement)
        if (there.isEmpty()) unplaced.remove(placement.machine)
    }

    /** The task has completed; its team's tag is corrected by what it really cost. */
    fun complete(placement: Placement) {
        val job = placement.job
        val since = placement.runningSince
        if (since != null) {
            val ran = context.now - since
            estimates.learn(job.spec, ran)
            queue.correct(job.spec.team, placement.charge, cost(job.spec, ran), context.wallTime)
        }
        complete(job, placement.task.index)
        release(placement, "done")
    }

    /** The tasks of a gang complete together: one that is done says it of all. */
    fun complete(job: Job, task: Int) {
        if (!job.spec.isGang) return job.complete(task, context.wallTime)
        for (each in 0 until job.spec.tasks) job.complete(each, context.wallTime)
    }

    /** Everything on the machine is proven gone. */
    fun clear(machine: Machine, why: String) {
        for (placement in machine.placements.values.toList()) release(placement, why)
        setOrphans(machine, emptyList())
    }

    fun setOrphans(machine: Machine, orphans: List<JobSpec>) {
        if (machine.orphans.isEmpty() && orphans.isEmpty()) return
        for (spec in machine.orphans) bookOrphan(spec, -1)
        machine.orphans = orphans
        for (spec in orphans) bookOrphan(spec, 1)
        changed()
    }

    private fun bookOrphan(spec: JobSpec, sign: Int) {
        book(spec, sign)
        orphanCounts.merge(spec.jobId, sign) { a, b -> (a + b).takeIf { it != 0 } }
    }

    /** A machine reports a task of the job that no record tells of. */
    fun hasOrphans(job: Job) = job.id in orphanCounts

    /** Before everything is read again. */
    fun forgetJobs() {
        for (machine in machines.values) {
            setOrphans(machine, emptyList())
            for (placement in machine.placements.values.toList()) machine.remove(
                placement,
                context.now,
            )
        }
        jobs.clear()
        unplaced.clear()
        machinesWithCommands.clear()
        cpus.clear()
        gpus.clear()
    }

    /** The largest booked share of CPU, GPU or memory, in CPUs of the largest machine type. */
    private fun cost(spec: JobSpec, run: Micros): Cost {
        val type = reference
        var share = spec.cpus
        if (type != null) {
            share = maxOf(share, spec.memoryGb * type.cpus / type.memoryGb)
            if (type.gpus > 0) share = maxOf(share, spec.gpus * type.cpus / type.gpus)
        }
        return Cost((share * maxOf(run, 1.seconds).value).toLong())
    }

    /** The type that shares are measured by. */
    var reference: MachineType? = null
}

/** Owners' estimates are often wrong in one direction for a whole class; what ran corrects them. */
class Estimates {
    private class Ratio {
        var value = 1.0
        var seen = 0
    }

    private val ratios = HashMap<String, Ratio>()

    fun runTime(spec: JobSpec): Micros {
        val ratio = ratios[spec.jobClass]?.value ?: 1.0
        return spec.estimate * ratio
    }

    fun learn(spec: JobSpec, ran: Micros) {
        if (spec.estimate <= Micros.ZERO) return
        val ratio = ratios.getOrPut(spec.jobClass) { Ratio() }
        ratio.seen++
        val part = maxOf(1.0 / (ratio.seen + 1), SMALLEST_PART)
        val seen = (ran.value.toDouble() / spec.estimate.value).coerceIn(0.2, 5.0)
        ratio.value += (seen - ratio.value) * part
    }

    private companion object {
        const val SMALLEST_PART = 0.02
    }
}
