package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Placement
import wardmux.model.PriorityClass

/**
 * Stops running tasks to make room for blocked jobs. A job may displace tasks of a lower priority
 * class. A job of a team below its guaranteed share may also reclaim that share from teams that use
 * more than their own share.
 */
class Preemption(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val planner: Planner,
    private val evictor: TaskEvictor,
    operators: OperatorSettings,
) {
    private val policy = PreemptionPolicy(context, cluster, operators)

    /** The number of placements examined so far, as a measure of the cost of preemption. */
    var placementsExamined = 0L
        private set

    /**
     * Stops as many tasks as each blocked job needs for its waiting tasks and no more. Tasks that
     * are already being stopped are counted as room that comes free.
     */
    fun preempt() {
        val blocked = cluster.jobs.values.filter { policy.mayPreempt(it) }
        if (blocked.isEmpty()) return
        val round = roundFor(blocked)
        for (job in blocked.sortedWith(compareBy({ it.spec.priority }, { it.acceptedAt.value }))) {
            preemptFor(job, round)
        }
    }

    /**
     * The placements that are being stopped and those that may be stopped, at the start of a round.
     */
    private class Round(stopping: List<Placement>, val victims: Victims) {
        /** CPUs that will be freed and are not yet assigned to a blocked job. */
        var freedCpus = stopping.sumOf { it.job.spec.cpus }
            private set

        /**
         * The CPUs of each team's quota that will be freed, by team. Negative once jobs of the team
         * are assigned more than that.
         */
        private val freedQuota = HashMap<String, Double>()

        init {
            for (placement in stopping) {
                val spec = placement.job.spec
                freedQuota.merge(spec.team, spec.cpus, Double::plus)
            }
        }

        fun freedQuotaOf(team: String) = freedQuota[team] ?: 0.0

        fun adjustQuota(team: String, freed: Double, taken: Double) {
            freedQuota[team] = freedQuotaOf(team) + freed - taken
        }

        fun addFreed(cpus: Double) {
            freedCpus += cpus
        }

        fun take(cpus: Double) {
            freedCpus -= minOf(freedCpus, cpus)
        }
    }

    private fun roundFor(blocked: List<Job>): Round {
        val highest = blocked.minOf { it.spec.priority }
        val isShareExceeded = cluster.teams.values.any { cluster.usedCpus(it.name) > it.cpus }
        val reclaims = isShareExceeded && blocked.any { policy.mayReclaim(it) }
        val stopping = ArrayList<Placement>()
        val stoppable = ArrayList<Placement>()
        for (machine in cluster.machines.values) {
            if (machine.placements.isEmpty()) continue
            val usable = planner.eligibility.isSchedulable(machine)
            for (placement in machine.placements.values) {
                val priority = placement.job.spec.priority
                if (placement.isStopping) stopping.add(placement)
                else if (!usable || !placement.isCommitted || placement.status == null) continue
                else if (priority > highest || (reclaims && priority == highest))
                    stoppable.add(placement)
            }
        }
        return Round(stopping, Victims(stoppable))
    }

    private fun preemptFor(job: Job, round: Round) {
        val spec = job.spec
        val wantedCpus = minOf(job.waiting, MAX_TASKS_PER_JOB_AND_ROUND) * spec.cpus
        // CPUs that the quota of the job's team allows, now and after the current stops. If they do
        // not suffice, tasks of lower priority of the same team are stopped to free quota.
        val availableCpus = cluster.quotaHeadroom(spec) * spec.cpus + round.freedQuotaOf(spec.team)
        var freedFromOwnTeam = 0.0
        if (wantedCpus > availableCpus) {
            freedFromOwnTeam =
                stopVictims(job, wantedCpus - availableCpus, round.victims, ownTeamOnly = true)
        }
        round.adjustQuota(
            spec.team,
            freed = freedFromOwnTeam,
            taken = minOf(wantedCpus, availableCpus + freedFromOwnTeam),
        )
        val stillNeededCpus = minOf(wantedCpus, availableCpus + freedFromOwnTeam) - freedFromOwnTeam
        round.addFreed(freedFromOwnTeam)
        if (stillNeededCpus > round.freedCpus) {
            val missingCpus = stillNeededCpus - round.freedCpus
            round.addFreed(stopVictims(job, missingCpus, round.victims, ownTeamOnly = false))
        }
        round.take(minOf(wantedCpus, availableCpus + freedFromOwnTeam))
    }

    /**
     * The placements that may be stopped, those with the smallest loss first. They are filtered
     * only once for each combination of priority and right to reclaim. Most jobs may only displace
     * lower priorities; without the filter, each blocked job would examine thousands of placements
     * with its own priority in vain.
     */
    private inner class Victims(stoppable: List<Placement>) {
        // Sorted once for all blocked jobs: the loss of a stop does not depend on the job it is
        // for.
        private val sorted =
            stoppable
                .map { Victim(it, policy.lostCpuSeconds(it)) }
                .sortedBy { it.lostCpuSeconds }
                .map { it.placement }
        private val byFilter = HashMap<VictimFilter, List<Placement>>()

        fun of(job: Job): List<Placement> {
            val filter = VictimFilter(job.spec.priority, policy.mayReclaim(job))
            return byFilter.getOrPut(filter) { sorted.filter { filter.mayInclude(it.job.spec) } }
        }
    }

    private class Victim(val placement: Placement, val lostCpuSeconds: Double)

    private data class VictimFilter(val priority: PriorityClass, val reclaims: Boolean) {
        fun mayInclude(other: JobSpec) =
            other.priority > priority ||
                (reclaims && other.priority == priority && other.isCheckpointable)
    }

    /**
     * Stops tasks, those with the smallest loss first, until [wantedCpus] CPUs are freed or no
     * victim is left. Returns the CPUs that the stops free.
     */
    private fun stopVictims(
        job: Job,
        wantedCpus: Double,
        victims: Victims,
        ownTeamOnly: Boolean,
    ): Double {
        var freedCpus = 0.0
        var hasReclaimed = false
        val taskCounts = HashMap(planner.eligibility.taskCountByZone(job))
        for (victim in inStopOrderFor(job, victims.of(job))) {
            if (freedCpus >= wantedCpus) break
            placementsExamined++
            val isEligible = !ownTeamOnly || victim.job.spec.team == job.spec.team
            if (isEligible && shouldStop(job, victim, taskCounts, wantedCpus - freedCpus)) {
                evictor.evict(victim, "preempted for ${job.id}")
                if (victim.job.spec.priority == job.spec.priority) hasReclaimed = true
                freedCpus += victim.job.spec.cpus
                if (job.isZoneBound) {
                    taskCounts.merge(victim.zone, tasksReplacing(victim, job), Int::plus)
                }
            }
        }
        if (hasReclaimed) job.lastReclaimAt = context.now
        return freedCpus
    }

    /**
     * True if [victim] may be stopped for [job], the job can use the freed room, and the stop does
     * not destroy more work than the [wantedCpus] CPUs that are still needed are worth.
     */
    private fun shouldStop(
        job: Job,
        victim: Placement,
        taskCounts: Map<String, Int>,
        wantedCpus: Double,
    ): Boolean {
        if (victim.isStopping || !policy.mayStop(job, victim)) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return isUsefulRoom(job, machine, taskCounts) &&
            policy.isWorthStopping(victim) &&
            // Stopping a task that is much larger than needed destroys more work than the room is
            // worth.
            victim.job.spec.cpus <= wantedCpus * MAX_VICTIM_SIZE_FACTOR
    }

    /** True if [job] can use room that is freed on [machine]. */
    private fun isUsefulRoom(job: Job, machine: Machine, taskCounts: Map<String, Int>): Boolean {
        val spec = job.spec
        // A stopped task stays listed, so stopping tasks makes no room in the heartbeats.
        val fits =
            machine.listingRoom > 0 &&
                planner.eligibility.satisfiesConstraints(spec, machine) &&
                machine.type.fits(spec)
        if (!fits || planner.typeReservations.isReservedFromTask(spec, machine.type)) return false
        // The room is of no use in a zone that already has its share of the job's tasks.
        if (!planner.eligibility.isZoneAllowed(machine.zone, spec, taskCounts)) return false
        // A gang can only use room on machines that are reserved for it. On other machines the
        // stopped tasks would be placed again.
        return !spec.isGang || planner.gangReservations.isReservedFor(job, machine)
    }

    /** The number of tasks of [job] that take the room of [victim]; at least one. */
    private fun tasksReplacing(victim: Placement, job: Job): Int =
        if (job.spec.cpus <= 0) 1 else maxOf(1, (victim.job.spec.cpus / job.spec.cpus).toInt())

    /**
     * The order in which victims are tried. For a service, machines with the most CPUs used by
     * services come first, so that services share few machines and other machines can become empty.
     */
    private fun inStopOrderFor(job: Job, victims: List<Placement>): List<Placement> {
        if (job.spec.kind != JobKind.SERVICE) return victims
        val serviceCpus = HashMap<MachineId, Double>()
        return victims.sortedByDescending { victim ->
            serviceCpus.getOrPut(victim.machine) {
                cluster.machines[victim.machine]?.serviceCpus ?: 0.0
            }
        }
    }

    private companion object {
        /** Limits how many waiting tasks of a job get room in one round. */
        const val MAX_TASKS_PER_JOB_AND_ROUND = 64

        /** The largest size of a victim, as a multiple of the CPUs that are still needed. */
        const val MAX_VICTIM_SIZE_FACTOR = 2.0
    }
}
