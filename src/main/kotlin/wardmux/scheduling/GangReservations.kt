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
 * Reserves machines and quota for waiting gangs. A gang needs machines and quota for all its tasks
 * at the same time. Without reservations, small tasks would take each bit of capacity as soon as it
 * comes free.
 */
class GangReservations(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val placement: GangPlacement,
    private val workers: WorkerTiming,
) {
    /**
     * For each team, the gang that has waited longest since its acceptance, among the gangs that
     * have been blocked for long.
     */
    private var quotaClaims: Map<String, Job> = emptyMap()

    /** Machines that are reserved for one gang. Nothing else is placed on them. */
    private var reservedMachines: Set<MachineId> = emptySet()
    private var reservedFor: JobId? = null

    /**
     * Recomputes all reservations for the jobs that are [ready] to start. Called before each plan.
     */
    internal fun update(ready: List<Job>) {
        abortUnfinishableAttempts(ready)
        reserveMachines(ready)
        quotaClaims = quotaClaims(ready)
    }

    /**
     * True if a task of [job] can start and still leave the quota that its team's longest waiting
     * gang needs, or if [job] has a higher priority than that gang.
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

    /** True if [machine] is reserved for a gang other than [job]. */
    fun isReservedFromJob(job: Job, machine: Machine) =
        machine.id in reservedMachines && job.id != reservedFor

    /**
     * True if [machine] is one of the machines reserved for [job]. If they were empty, they would
     * hold the whole gang.
     */
    fun isReservedFor(job: Job, machine: Machine) =
        job.id == reservedFor && machine.id in reservedMachines

    /**
     * Reserves machines for the gang that has waited longest, in one zone if the gang requires it.
     * Machines with the most room for the gang's tasks are taken first, then those with the most
     * running tasks.
     *
     * Only one gang has a reservation at a time, so that no two gangs hold machines that the other
     * one needs. The gang gets its reservation as soon as one plan found no room for it. The
     * reservation has more machines than the gang needs, because room comes free sooner where more
     * tasks may end.
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
        // Chooses the group of machines where the least additional room has to come free.
        reservedMachines =
            machineGroupsFor(gang, usable)
                .mapNotNull { reservationAmong(gang, it) }
                .maxByOrNull { chosen -> chosen.sumOf { it.roomFor(gang.spec) } }
                .orEmpty()
                .mapTo(HashSet()) { it.id }
    }

    /**
     * The machines of [group] to reserve, or null if the whole group would not hold the gang even
     * if it were empty.
     */
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

    /**
     * The groups of machines within which a gang has to be placed as a whole: one group for each
     * zone if the gang has to be in one zone, otherwise a single group.
     */
    private fun machineGroupsFor(job: Job, machines: List<Machine>): Collection<List<Machine>> =
        if (job.spec.oneZone) machines.groupBy { it.zone }.values else listOf(machines)

    /**
     * True if some group of usable machines would hold the gang if it were empty. Checked only for
     * gangs whose pages fit only few machines: one that no group can hold gets no reservation, so
     * that the next gang can have it.
     */
    private fun hasMachinesFor(job: Job): Boolean {
        if (!PageSizeEstimate.requiresDensePacking(job, placement.maxBytes)) return true
        return machineGroupsFor(job, usableMachinesFor(job)).any {
            placement.wouldFitWhenEmpty(job, it)
        }
    }

    /** True if only the lack of room on machines keeps the gang from starting. */
    private fun awaitsRoom(job: Job): Boolean {
        val mayPlace = job.placements.isEmpty() || canReplaceLostTasks(job)
        return mayPlace &&
            job.blockedSince != null &&
            !cluster.hasOrphans(job) &&
            !placement.canNeverBeStored(job) &&
            cluster.quotaHeadroom(job.spec) >= job.waiting
    }

    /**
     * Stops the remaining tasks of attempts that cannot be completed, whether or not there is room
     * or quota for the next attempt. Otherwise two gangs of a team that each hold what the other
     * one waits for would wait indefinitely.
     */
    private fun abortUnfinishableAttempts(ready: List<Job>) {
        for (job in ready) {
            val isPlaced = job.spec.isGang && job.placements.isNotEmpty()
            if (isPlaced && !canReplaceLostTasks(job)) cluster.abortGangAttempt(job)
        }
    }

    /**
     * True if lost tasks of the gang's current attempt can still be replaced before its other tasks
     * stop waiting.
     */
    fun canReplaceLostTasks(job: Job) = job.gangAttempt?.let { canBeCompleted(it) } == true

    private fun canBeCompleted(attempt: GangAttempt): Boolean {
        val maxAge = (workers.gangWaitS * REPLACEMENT_SHARE_OF_GANG_WAIT).seconds
        return !attempt.isAborted && !attempt.hasRun && context.now - attempt.startedAt < maxAge
    }

    private companion object {
        /**
         * The share of the gang wait (the time that tasks of a gang wait for each other to start)
         * in which lost tasks are replaced. The rest is left for fetching the image on the new
         * machine.
         */
        const val REPLACEMENT_SHARE_OF_GANG_WAIT = 0.4

        /**
         * The number of reserved machines, as a multiple of the machines that would hold the gang
         * if they were empty.
         */
        const val RESERVED_MACHINES_FACTOR = 3
    }
}
