package wardmux.scheduling

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
 * The jobs, machines and placements that the leader knows. Whatever may be on a machine counts
 * against the machine's room and its team's quota until it is proven gone.
 */
class ClusterState(private val context: CoreContext, teams: List<TeamQuota>, val queue: FairQueue) {
    private val log = logger<ClusterState>()

    /** The quota of each team, by its name. */
    val teams = teams.associateBy { it.name }

    /** All jobs that are open or of which something is left on machines or in the store. */
    val jobs = LinkedHashMap<JobId, Job>()

    /** All machines that have sent a heartbeat or were listed by the cloud. */
    val machines = LinkedHashMap<MachineId, Machine>()

    /** How long tasks are expected to run. */
    val estimates = RuntimeEstimates()
    internal val quotaUsage = QuotaUsage(this.teams)
    private val orphans = Orphans(quotaUsage)

    /** Placements on machines that records name and that have sent no heartbeat yet. */
    val unknownMachines = PlacementsOnUnknownMachines()

    /** Machines that may have commands to be sent to them directly. */
    val machinesWithCommands = LinkedHashSet<Machine>()

    /** Drains are active: only these move tasks that would run on elsewhere. */
    var hasDrains = false

    /** Counts the jobs that were found cancelled. */
    var cancelledJobCount = 0L
        private set

    /** Counts what may let a waiting task start; a plan that found nothing is not made again. */
    var changeCount = 0L
        private set

    /** The machine type that costs are measured by; null until the types are known. */
    var referenceType: MachineType? = null

    /** The CPUs that tasks of [team] take of its quota. */
    fun usedCpus(team: String) = quotaUsage.usedCpus(team)

    /**
     * How many more tasks like this the team's quota allows, once one like [beside] has started.
     */
    fun headroom(spec: JobSpec, beside: JobSpec? = null): Int = quotaUsage.headroom(spec, beside)

    /** Places [task] of [job] on [machine] and charges its team. */
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
        addPlacement(placement, machine)
        machine.images.recordUse(job.spec.image, job.spec.imageGb, context.now)
        return placement
    }

    /** Counts [placement] on its [machine], which is null if it has sent no heartbeat yet. */
    fun addPlacement(placement: Placement, machine: Machine?) {
        if (machine != null) {
            machine.add(placement)
            machinesWithCommands.add(machine)
        } else {
            unknownMachines.add(placement)
        }
        quotaUsage.adjust(placement.job.spec, 1)
    }

    /** Adds a machine, with the placements that records name on it. */
    fun add(machine: Machine) {
        machines[machine.id] = machine
        unknownMachines.removeAll(machine.id).forEach { machine.add(it) }
        markChanged()
    }

    /** All placements on a machine, known or unknown. */
    fun placementsOn(id: MachineId): Collection<Placement> =
        machines[id]?.placements?.values ?: unknownMachines.on(id)

    /** Something happened that may let a waiting task start. */
    fun markChanged() {
        changeCount++
    }

    /** [job] is cancelled; its user may have been told so from [since] on. */
    fun cancel(job: Job, since: Micros) {
        if (!job.hasEnded) {
            job.phase = JobPhase.CANCELLED
            job.cancelledSince = since
            cancelledJobCount++
        }
        scheduleStops(job)
    }

    /** The record of [job] says that it is done. */
    fun finish(job: Job) {
        job.phase = JobPhase.DONE
        scheduleStops(job)
    }

    private fun scheduleStops(job: Job) {
        for (placement in job.placements.values) {
            machines[placement.machine]?.let { machinesWithCommands.add(it) }
        }
    }

    /** [placement] is proven gone from its machine, for [reason]; its task waits unless done. */
    fun release(placement: Placement, reason: String) {
        if (placement.job.placements.get(placement.task.index) !== placement) return
        log.debug(
            "released {} attempt {} from {}: {}",
            placement.task,
            placement.attempt,
            placement.machine,
            reason,
        )
        removePlacement(placement)
        placement.job.release(placement, context.wallTime)
        val gang = placement.job.gangAttempt
        if (gang != null && gang.hasRun && !placement.job.allTasksDone) {
            abortGangAttempt(placement.job)
        }
        markChanged()
    }

    /**
     * The gang's attempt can't be completed any more. What is left of it is stopped: its tasks
     * would find out by themselves, but later.
     */
    fun abortGangAttempt(job: Job) {
        val gang = job.gangAttempt ?: return
        gang.isAborted = true
        for (placement in job.placements.values) {
            if (placement.gracePeriod == Micros.ZERO) continue
            placement.gracePeriod = Micros.ZERO
            placement.isStopSent = false
            machines[placement.machine]?.let { machinesWithCommands.add(it) }
        }
    }

    /** The record of [placement] was surely not written: it is undone, and its charge refunded. */
    fun rollBack(placement: Placement) {
        if (placement.job.placements.get(placement.task.index) !== placement) return
        removePlacement(placement)
        queue.refund(placement.job.spec.team, placement.charge, context.wallTime)
        placement.job.rollBack(placement, context.wallTime)
        markChanged()
    }

    private fun removePlacement(placement: Placement) {
        val machine = machines[placement.machine]
        if (machine != null) machine.remove(placement, context.now)
        else unknownMachines.remove(placement)
        val image = placement.job.spec.image
        if (placement.runningSince == null && machine?.needsImage(image) == false) {
            machine.images.cancelFetch(image, context.now)
        }
        quotaUsage.adjust(placement.job.spec, -1)
    }

    /** The task of [placement] has completed; its charge is corrected by what it really cost. */
    fun complete(placement: Placement) {
        val job = placement.job
        val since = placement.runningSince
        if (since != null) {
            val runTime = context.now - since
            estimates.record(job.spec, runTime)
            queue.settle(job.spec.team, placement.charge, cost(job.spec, runTime), context.wallTime)
        }
        complete(job, placement.task.index)
        release(placement, "done")
    }

    /** [task] has completed; the tasks of a gang complete together, so one says it of all. */
    fun complete(job: Job, task: Int) {
        if (!job.spec.isGang) return job.complete(task, context.wallTime)
        for (each in 0 until job.spec.tasks) job.complete(each, context.wallTime)
    }

    /** Everything on [machine] is proven gone, for [reason]. */
    fun releaseAll(machine: Machine, reason: String) {
        for (placement in machine.placements.values.toList()) release(placement, reason)
        setOrphans(machine, emptyList())
    }

    /** [machine] reports tasks of these jobs that no record names. */
    fun setOrphans(machine: Machine, orphans: List<JobSpec>) {
        if (this.orphans.set(machine, orphans)) markChanged()
    }

    /** True if a machine reports a task of [job] that no record names. */
    fun hasOrphans(job: Job) = orphans.has(job)

    /** Forgets all jobs and placements, before everything is read again. */
    fun removeAllJobs() {
        for (machine in machines.values) {
            setOrphans(machine, emptyList())
            for (placement in machine.placements.values.toList()) {
                machine.remove(placement, context.now)
            }
        }
        jobs.clear()
        unknownMachines.clear()
        machinesWithCommands.clear()
        quotaUsage.clear()
    }

    /** The largest share of CPU, GPU or memory, in CPUs of the reference type, by the run time. */
    private fun cost(spec: JobSpec, runTime: Micros): Cost {
        val type = referenceType
        var share = spec.cpus
        if (type != null) {
            share = maxOf(share, spec.memoryGb * type.cpus / type.memoryGb)
            if (type.gpus > 0) share = maxOf(share, spec.gpus * type.cpus / type.gpus)
        }
        return Cost((share * maxOf(runTime, MIN_CHARGED_TIME).value).toLong())
    }

    private companion object {
        val MIN_CHARGED_TIME = 1.seconds
    }
}
