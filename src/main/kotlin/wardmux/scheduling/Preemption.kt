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
 * Stops running tasks to make room for blocked jobs: for a job of a higher priority class, or to
 * reclaim a team's guaranteed share from what another team runs beyond its own.
 */
class Preemption(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val planner: Planner,
    private val evictor: TaskEvictor,
    operators: OperatorSettings,
) {
    private val policy = PreemptionPolicy(context, cluster, operators)

    /** Placements examined so far: what preemption costs. */
    var placementsExamined = 0L
        private set

    /**
     * Stops as much as the waiting tasks of each blocked job need and no more, counting what is
     * being stopped already.
     */
    fun preempt() {
        val blocked = cluster.jobs.values.filter { policy.mayPreempt(it) }
        if (blocked.isEmpty()) return
        val round = roundFor(blocked)
        for (job in blocked.sortedWith(compareBy({ it.spec.priority }, { it.acceptedAt.value }))) {
            preemptFor(job, round)
        }
    }

    /** What is being stopped, and what may be stopped, when one round of preemption starts. */
    private class Round(stopping: List<Placement>, val victims: Victims) {
        /** CPUs that come free and that no job has been given yet. */
        var freedCpus = stopping.sumOf { it.job.spec.cpus }
            private set

        /** Of each team the CPUs of its quota that come free; negative once more is given. */
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
        // What its team's quota leaves, and what the team's own work of lower priority takes of it.
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
     * What may be stopped for whom, that with the least loss first. For most jobs that is only what
     * has a lower priority: of a thousand placements like their own, not one is examined for each
     * job that waits.
     */
    private inner class Victims(stoppable: List<Placement>) {
        // Sorted once for all that wait: what is lost by a stop does not depend on for whom.
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

    /** Stops as much as is wantedCpus, that with the least loss first; gives the CPUs it frees. */
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

    /** True if stopping [victim] is allowed and gives the job room, at no more cost than that. */
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
            // Much larger than what is needed: it would destroy more than it pays for.
            victim.job.spec.cpus <= wantedCpus * MAX_VICTIM_SIZE_FACTOR
    }

    /** True if room that comes free on the machine is of use to the job. */
    private fun isUsefulRoom(job: Job, machine: Machine, taskCounts: Map<String, Int>): Boolean {
        val spec = job.spec
        val fits =
            planner.eligibility.satisfiesConstraints(spec, machine) && machine.type.holds(spec)
        if (!fits || planner.typeReservations.isReservedFromTask(spec, machine.type)) return false
        // Where its zone has its share of the job already, it is of no use.
        if (!planner.eligibility.isZoneAllowed(machine.zone, spec, taskCounts)) return false
        // Room that comes free elsewhere is of no use to a gang, and what is stopped comes back.
        return !spec.isGang || planner.gangReservations.isReservedFor(job, machine)
    }

    /** How many tasks of [job] go where [victim] is. */
    private fun tasksReplacing(victim: Placement, job: Job): Int =
        if (job.spec.cpus <= 0) 1 else maxOf(1, (victim.job.spec.cpus / job.spec.cpus).toInt())

    /** Services go where most services are: other machines then come free for good. */
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
        const val MAX_TASKS_PER_JOB_AND_ROUND = 64

        /** How many times what is needed a stopped task may be. */
        const val MAX_VICTIM_SIZE_FACTOR = 2.0
    }
}
