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
 * The jobs, machines and placements that the leader knows. Every task that may still be on a
 * machine counts against the machine's capacity and its team's quota until it is proven to be gone.
 */
class ClusterState(private val context: CoreContext, teams: List<TeamQuota>, val queue: FairQueue) {
    private val log = logger<ClusterState>()

    /** The quota of each team, by its name. */
    val teams = teams.associateBy { it.name }

    /**
     * All jobs that are open, and ended jobs that still have tasks on machines or entries in the
     * store.
     */
    val jobs = LinkedHashMap<JobId, Job>()

    /** All machines that have sent a heartbeat or were listed by the cloud. */
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Estimates of how long tasks run. */
    val estimates = RuntimeEstimates()
    internal val quotaUsage = QuotaUsage(this.teams)
    private val orphans = Orphans(quotaUsage)

    /** Placements from records whose machines are not in [machines] yet. */
    val unknownMachines = PlacementsOnUnknownMachines()

    /** Machines for which commands may be waiting that can be sent to them directly. */
    val machinesWithCommands = LinkedHashSet<Machine>()

    /**
     * True while drains are active. Scale-in then evicts no tasks, because its evictions would use
     * up the disruption budgets that the drains keep to.
     */
    var hasDrains = false

    /** The number of jobs that were found cancelled. */
    var cancelledJobCount = 0L
        private set

    /**
     * Counts the changes that may allow a waiting task to start. A plan that found nothing to place
     * is not repeated until this counter changes.
     */
    var changeCount = 0L
        private set

    /**
     * The machine type in whose CPUs costs are expressed; null until the machine types are known.
     */
    var referenceType: MachineType? = null

    /** The CPUs of the quota of [team] that its tasks use. */
    fun usedCpus(team: String) = quotaUsage.usedCpus(team)

    /**
     * How many more tasks like [spec] the team's quota allows. If [afterStarting] is given, one
     * task like it is counted as started first.
     */
    fun quotaHeadroom(spec: JobSpec, afterStarting: JobSpec? = null): Int =
        quotaUsage.quotaHeadroom(spec, afterStarting)

    /**
     * Places [task] of [job] on [machine] and charges its team. Returns the placement, which is not
     * committed yet.
     */
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

    /**
     * Adds [placement] to its [machine] and to its team's usage. A [machine] of null means that the
     * machine is known only from records.
     */
    fun addPlacement(placement: Placement, machine: Machine?) {
        if (machine != null) {
            machine.add(placement)
            machinesWithCommands.add(machine)
        } else {
            unknownMachines.add(placement)
        }
        quotaUsage.adjust(placement.job.spec, 1)
    }

    /** Adds a machine, together with the placements on it that were read from records. */
    fun add(machine: Machine) {
        machines[machine.id] = machine
        unknownMachines.removeAll(machine.id).forEach { machine.add(it) }
        markChanged()
    }

    /** All placements on a machine, which may be known only from records. */
    fun placementsOn(id: MachineId): Collection<Placement> =
        machines[id]?.placements?.values ?: unknownMachines.on(id)

    /** Records a change that may allow a waiting task to start. */
    fun markChanged() {
        changeCount++
    }

    /**
     * Marks [job] as cancelled and schedules the stops of its tasks. Its user may have received the
     * confirmation of the cancellation at any time from [since] on.
     */
    fun cancel(job: Job, since: Micros) {
        if (!job.hasEnded) {
            job.phase = JobPhase.CANCELLED
            job.cancelledSince = since
            cancelledJobCount++
        }
        scheduleStops(job)
    }

    /**
     * Marks [job] as done, as its record says so, and schedules the stops of its remaining tasks.
     */
    fun finish(job: Job) {
        job.phase = JobPhase.DONE
        scheduleStops(job)
    }

    private fun scheduleStops(job: Job) {
        for (placement in job.placements.values) {
            machines[placement.machine]?.let { machinesWithCommands.add(it) }
        }
    }

    /**
     * Removes [placement], which is proven to be gone from its machine for [reason]. Its task waits
     * again unless it is done.
     */
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
     * Aborts the current attempt of a gang, which cannot be completed any more. Its remaining tasks
     * are stopped at once; without this they would notice by themselves, but later.
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

    /** Removes [placement], whose record was certainly not written, and refunds its charge. */
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

    /** Completes the task of [placement] and corrects its charge to the actual cost. */
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

    /**
     * Marks [task] as completed. All tasks of a gang complete together, so the completion of one
     * completes all of them.
     */
    fun complete(job: Job, task: Int) {
        if (!job.spec.isGang) return job.complete(task, context.wallTime)
        for (index in 0 until job.spec.tasks) job.complete(index, context.wallTime)
    }

    /** Removes everything on [machine], which is proven to be gone for [reason]. */
    fun releaseAll(machine: Machine, reason: String) {
        for (placement in machine.placements.values.toList()) release(placement, reason)
        setOrphans(machine, emptyList())
    }

    /**
     * Replaces the orphans of [machine], which are tasks that it reports and no record names, by
     * tasks of the jobs in [orphans].
     */
    fun setOrphans(machine: Machine, orphans: List<JobSpec>) {
        if (this.orphans.set(machine, orphans)) markChanged()
    }

    /** True if a machine reports a task of [job] that no record names. */
    fun hasOrphans(job: Job) = orphans.has(job)

    /** Removes all jobs and placements, before everything is read from the store again. */
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

    /**
     * The cost of a task: the largest of its CPU, GPU and memory demands, each converted to CPUs of
     * the reference type, times the run time in microseconds.
     */
    private fun cost(spec: JobSpec, runTime: Micros): Cost {
        val type = referenceType
        var share = spec.cpus
        if (type != null) {
            share = maxOf(share, spec.memoryGb * type.cpus / type.memoryGb)
            if (type.gpus > 0) share = maxOf(share, spec.gpus * type.cpus / type.gpus)
        }
        return Cost((share * maxOf(runTime, MIN_CHARGED_RUN_TIME).value).toLong())
    }

    private companion object {
        val MIN_CHARGED_RUN_TIME = 1.seconds
    }
}
