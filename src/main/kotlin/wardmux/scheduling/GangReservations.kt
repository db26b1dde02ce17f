package wardmux.scheduling

import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.GangAttempt
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.seconds

/**
 * Reserves machines and quota for gangs that wait: a gang needs all of both at once, and small
 * tasks would take each bit that comes free.
 */
class GangReservations(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val placement: GangPlacement,
    private val workers: WorkerTiming,
) {
    /** Of each team the gang that has waited longest, if that is too long. */
    private var quotaClaims: Map<String, Job> = emptyMap()

    /** Machines that are reserved for one gang: nothing else is placed there. */
    private var reservedMachines: Set<MachineId> = emptySet()
    private var reservedFor: JobId? = null

    /** Decides anew, before each plan, for the jobs that are [ready] to start. */
    internal fun update(ready: List<Job>) {
        abortUnfinishableAttempts(ready)
        reserveMachines(ready)
        quotaClaims = quotaClaims(ready)
    }

    /**
     * True if a task of [job] leaves the quota that its team's longest waiting gang needs, or comes
     * before that gang by its priority.
     */
    fun leavesQuotaForGang(job: Job): Boolean {
        val gang = quotaClaims[job.spec.team] ?: return true
        val hasPrecedence = gang === job || job.spec.priority < gang.spec.priority
        if (hasPrecedence || gang.waiting == 0) return true
        return cluster.quotaHeadroom(gang.spec, afterStarting = job.spec) >= gang.waiting
    }

    private fun quotaClaims(ready: List<Job>): Map<String, Job> =
        ready
            .filter {
                it.spec.isGang &&
                    !it.isFailing &&
                    it.isBlockedLong(context.now) &&
                    !placement.canNeverBeStored(it)
            }
            .sortedByDescending { it.acceptedAt.value }
            .associateBy { it.spec.team }

    /** True if [machine] is reserved for another gang than [job]. */
    fun isReservedFromJob(job: Job, machine: Machine) =
        machine.id in reservedMachines && job.id != reservedFor

    /** True if [machine] is reserved for [job], with others that together hold all of it. */
    fun isReservedFor(job: Job, machine: Machine) =
        job.id == reservedFor && machine.id in reservedMachines

    /**
     * Reserves machines for the gang that has waited longest, in one zone if it has to be: those
     * with the most room and where the most tasks end. It is one gang at a time, so that two never
     * hold what the other lacks. It gets them as soon as a plan found no room for it, and more than
     * it needs, as its room comes the sooner the more tasks may end for it.
     */
    private fun reserveMachines(ready: List<Job>) {
        val waiting = ready.filter { it.spec.isGang && awaitsRoom(it) && hasMachinesFor(it) }
        val gang = waiting.minByOrNull { it.acceptedAt.value }
        if (gang == null) {
            reservedMachines = emptySet()
            reservedFor = null
            return
        }
        val usable = usableMachinesFor(gang)
        val stillUsable = usable.filter { it.id in reservedMachines }
        if (gang.id == reservedFor && placement.wouldFitWhenEmpty(gang, stillUsable)) return
        reservedFor = gang.id
        // Where the least has to come free.
        reservedMachines =
            machineGroupsFor(gang, usable)
                .mapNotNull { reservationAmong(gang, it) }
                .maxByOrNull { chosen -> chosen.sumOf { it.roomFor(gang.spec) } }
                .orEmpty()
                .mapTo(HashSet()) { it.id }
    }

    /** The machines of [group] to reserve, or null if all of them would not hold the gang. */
    private fun reservationAmong(gang: Job, group: List<Machine>): List<Machine>? {
        val sorted =
            group.sortedWith(
                compareByDescending<Machine> { it.roomFor(gang.spec) }
                    .thenByDescending { it.placements.size }
            )
        val count =
            (1..sorted.size).firstOrNull { placement.wouldFitWhenEmpty(gang, sorted.take(it)) }
                ?: return null
        return sorted.take(count * RESERVED_MACHINES_FACTOR)
    }

    private fun usableMachinesFor(job: Job): List<Machine> =
        cluster.machines.values.filter {
            eligibility.isSchedulable(it) && eligibility.satisfiesConstraints(job.spec, it)
        }

    /** The machines among which all of the gang has to be. */
    private fun machineGroupsFor(job: Job, machines: List<Machine>): Collection<List<Machine>> =
        if (job.spec.oneZone) machines.groupBy { it.zone }.values else listOf(machines)

    /** Where its pages hold only few machines, one that these can't serve lets the next come. */
    private fun hasMachinesFor(job: Job): Boolean {
        if (!PageSizeEstimate.requiresDensePacking(job, placement.maxBytes)) return true
        return machineGroupsFor(job, usableMachinesFor(job)).any {
            placement.wouldFitWhenEmpty(job, it)
        }
    }

    /** A gang that only the lack of room on machines holds back. */
    private fun awaitsRoom(job: Job): Boolean {
        val mayPlace = job.placements.isEmpty() || canReplaceLostTasks(job)
        return mayPlace &&
            job.blockedSince != null &&
            !cluster.hasOrphans(job) &&
            !placement.canNeverBeStored(job) &&
            cluster.quotaHeadroom(job.spec) >= job.waiting
    }

    /**
     * What is left of an attempt that can't be completed is stopped whether or not there is room or
     * quota for the next: two gangs of a team that each hold what the other waits for would wait
     * for ever.
     */
    private fun abortUnfinishableAttempts(ready: List<Job>) {
        for (job in ready) {
            val isPlaced = job.spec.isGang && job.placements.isNotEmpty()
            if (isPlaced && !canReplaceLostTasks(job)) cluster.abortGangAttempt(job)
        }
    }

    /** True if lost tasks of the gang's attempt can still be placed in time for the others. */
    fun canReplaceLostTasks(job: Job) = job.gangAttempt?.let { canBeCompleted(it) } == true

    private fun canBeCompleted(attempt: GangAttempt): Boolean {
        val maxAge = (workers.gangWaitS * REPLACEMENT_SHARE_OF_GANG_WAIT).seconds
        return !attempt.isAborted && !attempt.hasRun && context.now - attempt.startedAt < maxAge
    }

    private companion object {
        /**
         * The share of the time that a gang's tasks wait for each other in which lost ones are
         * replaced: in the rest an image has to come.
         */
        const val REPLACEMENT_SHARE_OF_GANG_WAIT = 0.4

        /** Machines that are reserved, in those that would hold the gang if they were empty. */
        const val RESERVED_MACHINES_FACTOR = 3
    }
}
