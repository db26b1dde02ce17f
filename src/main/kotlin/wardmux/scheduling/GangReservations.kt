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
 * Keeps room and cap for gangs that wait: a gang needs all of both at once, and small tasks would
 * take each bit that comes free.
 */
class GangReservations(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val placement: GangPlacement,
    private val workers: WorkerTiming,
) {
    /** Decides anew, before each plan, for the jobs that are [ready] to start. */
    fun update(ready: List<Job>) {
        breakSpoiltAttempts(ready)
        reserve(ready)
        claims = claims(ready)
    }

    /** Of each team the gang that has waited longest, if that is too long. */
    private var claims: Map<String, Job> = emptyMap()

    /**
     * Of the cap, too, a team's other tasks would take each bit that comes free: while a gang waits
     * for its cap or for room, they leave what it needs. More urgent ones come before it.
     */
    fun leavesQuota(job: Job): Boolean {
        val gang = claims[job.spec.team] ?: return true
        if (gang === job || gang.waiting == 0 || job.spec.priority < gang.spec.priority) return true
        return cluster.headroom(gang.spec, beside = job.spec) >= gang.waiting
    }

    private fun claims(ready: List<Job>): Map<String, Job> =
        ready
            .filter {
                it.spec.isGang &&
                    !it.isFailing &&
                    it.isBlockedLong(context.now) &&
                    !placement.canNeverBeStored(it)
            }
            .sortedByDescending { it.acceptedAt.value }
            .associateBy { it.spec.team }

    /** Machines where a gang that waits too long gathers room: nothing else goes there. */
    private var reserved: Set<MachineId> = emptySet()
    private var reservedFor: JobId? = null

    /** True if another gang gathers room on this machine. */
    fun isReservedFromJob(job: Job, machine: Machine) =
        machine.id in reserved && job.id != reservedFor

    /** True if the gang gathers room on this machine, with others that together hold all of it. */
    fun isReservedFor(job: Job, machine: Machine) = job.id == reservedFor && machine.id in reserved

    /**
     * Of room that comes free bit by bit small tasks would take each bit. The gang that has waited
     * longest gets machines for it alone, in one zone if it has to be, those that have the most
     * room and where the most tasks end; one gang at a time, so that two never hold what the other
     * lacks. It gathers as soon as a plan found no room for it, and on more machines than it needs,
     * as its room comes the sooner the more tasks may end for it.
     */
    private fun reserve(ready: List<Job>) {
        val waiting = ready.filter { it.spec.isGang && awaitsRoom(it) && hasMachinesFor(it) }
        val gang = waiting.minByOrNull { it.acceptedAt.value }
        if (gang == null) {
            reserved = emptySet()
            reservedFor = null
            return
        }
        val usable =
            cluster.machines.values.filter {
                eligibility.usable(it) && eligibility.allowed(gang.spec, it)
            }
        val kept = usable.filter { it.id in reserved }
        if (gang.id == reservedFor && placement.holdsAll(gang, kept)) return
        reservedFor = gang.id
        val groups = if (gang.spec.oneZone) usable.groupBy { it.zone }.values else listOf(usable)
        val choices =
            groups.mapNotNull { group ->
                val sorted =
                    group.sortedWith(
                        compareByDescending<Machine> { it.roomFor(gang.spec) }
                            .thenByDescending { it.placements.size }
                    )
                val count =
                    (1..sorted.size).firstOrNull { placement.holdsAll(gang, sorted.take(it)) }
                count?.let { sorted.take(it * GATHER_WIDTH) }
            }
        // Where the least has to come free.
        reserved =
            choices
                .maxByOrNull { chosen -> chosen.sumOf { it.roomFor(gang.spec) } }
                .orEmpty()
                .mapTo(HashSet()) { it.id }
    }

    /** Where its pages hold only few machines, one that these can't serve lets the next come. */
    private fun hasMachinesFor(job: Job): Boolean {
        if (!PageSizeEstimate.requiresDensePacking(job, placement.maxBytes)) return true
        val usable =
            cluster.machines.values.filter {
                eligibility.usable(it) && eligibility.allowed(job.spec, it)
            }
        val groups = if (job.spec.oneZone) usable.groupBy { it.zone }.values else listOf(usable)
        return groups.any { placement.holdsAll(job, it) }
    }

    /** A gang that only the lack of room on machines holds back. */
    private fun awaitsRoom(job: Job): Boolean {
        val mayGo = job.placements.isEmpty() || mayReplaceLost(job)
        return mayGo &&
            job.blockedSince != null &&
            !cluster.hasOrphans(job) &&
            !placement.canNeverBeStored(job) &&
            cluster.headroom(job.spec) >= job.waiting
    }

    /**
     * What is left of an attempt that comes to nothing is stopped whether or not there is room or
     * cap for the next: two gangs of a team that each hold what the other waits for would wait for
     * ever.
     */
    private fun breakSpoiltAttempts(ready: List<Job>) {
        for (job in ready) {
            val isOut = job.spec.isGang && job.placements.isNotEmpty()
            if (isOut && !mayReplaceLost(job)) cluster.abortGangAttempt(job)
        }
    }

    fun mayReplaceLost(job: Job) = job.gangAttempt?.let { mayReplaceIn(it) } == true

    private fun mayReplaceIn(gang: GangAttempt): Boolean {
        val longest = (workers.gangWaitS * REPLACED_PART).seconds
        return !gang.isAborted && !gang.hasRun && context.now - gang.startedAt < longest
    }

    private companion object {
        /**
         * Of the time that a gang's tasks wait for each other: in the rest an image has to come.
         */
        const val REPLACED_PART = 0.4

        /** Machines where a gang gathers room, in those that would hold it if they were empty. */
        const val GATHER_WIDTH = 3
    }
}
