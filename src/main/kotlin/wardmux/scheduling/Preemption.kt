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
                val other = placement.job.spec.priority
                if (placement.isStopping) stopping.add(placement)
                else if (!usable || !placement.isCommitted || placement.status == null) continue
                else if (other > highest || (reclaims && other == highest)) stoppable.add(placement)
            }
        }
        return Round(stopping, Victims(stoppable))
    }

    private fun preemptFor(job: Job, round: Round) {
        val spec = job.spec
        val wanted = minOf(job.waiting, MAX_TASKS_AT_ONCE) * spec.cpus
        // What its team's quota leaves, and what the team's own work of lower priority takes of it.
        val free = cluster.headroom(spec) * spec.cpus + round.freedQuotaOf(spec.team)
        var own = 0.0
        if (wanted > free) own = makeRoom(job, wanted - free, round.victims, ownTeamOnly = true)
        round.adjustQuota(spec.team, freed = own, taken = minOf(wanted, free + own))
        val rest = minOf(wanted, free + own) - own
        round.addFreed(own)
        if (rest > round.freedCpus) {
            val missing = rest - round.freedCpus
            round.addFreed(makeRoom(job, missing, round.victims, ownTeamOnly = false))
        }
        round.take(minOf(wanted, free + own))
    }

    /**
     * What may be stopped for whom, that with the least loss first. For most jobs that is only what
     * has a lower priority: of a thousand placements like their own, not one is examined for each
     * job that waits.
     */
    private inner class Victims(stoppable: List<Placement>) {
        // Sorted once for all that wait: what is lost by a stop does not depend on for whom.
        private val sorted =
            stoppable.map { Victim(it, policy.loss(it)) }.sortedBy { it.loss }.map { it.placement }
        private val byRequest = HashMap<VictimRequest, List<Placement>>()

        fun of(job: Job): List<Placement> {
            val request = VictimRequest(job.spec.priority, policy.mayReclaim(job))
            return byRequest.getOrPut(request) { sorted.filter { request.mayConcern(it.job.spec) } }
        }
    }

    private class Victim(val placement: Placement, val loss: Double)

    private data class VictimRequest(val priority: PriorityClass, val reclaims: Boolean) {
        fun mayConcern(other: JobSpec) =
            other.priority > priority ||
                (reclaims && other.priority == priority && other.isCheckpointable)
    }

    /** Stops as much as is wanted, that with the least loss first; gives the CPUs it frees. */
    private fun makeRoom(job: Job, wanted: Double, victims: Victims, ownTeamOnly: Boolean): Double {
        var freed = 0.0
        var reclaimed = false
        val zones = HashMap(planner.eligibility.taskCountByZone(job))
        for (victim in orderedFor(job, victims.of(job))) {
            if (freed >= wanted) break
            placementsExamined++
            val isEligible = !ownTeamOnly || victim.job.spec.team == job.spec.team
            if (isEligible && helps(job, victim, zones, wanted - freed)) {
                evictor.evict(victim, "preempted for ${job.id}")
                if (victim.job.spec.priority == job.spec.priority) reclaimed = true
                freed += victim.job.spec.cpus
                if (job.isZoneBound) zones.merge(victim.zone, tasksInRoomOf(victim, job), Int::plus)
            }
        }
        if (reclaimed) job.lastReclaimAt = context.now
        return freed
    }

    /** True if stopping [victim] is allowed and gives the job room, at no more cost than that. */
    private fun helps(
        job: Job,
        victim: Placement,
        zones: Map<String, Int>,
        wanted: Double,
    ): Boolean {
        if (victim.isStopping || !policy.mayStop(job, victim)) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return isRoomFor(job, machine, zones) &&
            policy.isWorthStopping(victim) &&
            // Much larger than what is needed: it would destroy more than it pays for.
            victim.job.spec.cpus <= wanted * MAX_OVERSIZE
    }

    /** True if room that comes free on the machine is of use to the job. */
    private fun isRoomFor(job: Job, machine: Machine, zones: Map<String, Int>): Boolean {
        val spec = job.spec
        val fits =
            planner.eligibility.satisfiesConstraints(spec, machine) && machine.type.fits(spec)
        if (!fits || planner.typeReservations.isReservedFromTask(spec, machine.type)) return false
        // Where its zone has its share of the job already, it is of no use.
        if (!planner.eligibility.isZoneAllowed(machine.zone, spec, zones)) return false
        // Room that comes free elsewhere is of no use to a gang, and what is stopped comes back.
        return !spec.isGang || planner.gangReservations.isReservedFor(job, machine)
    }

    /** How many tasks of [job] go where [victim] is. */
    private fun tasksInRoomOf(victim: Placement, job: Job): Int =
        if (job.spec.cpus <= 0) 1 else maxOf(1, (victim.job.spec.cpus / job.spec.cpus).toInt())

    /** Services go where most services are: other machines then come free for good. */
    private fun orderedFor(job: Job, victims: List<Placement>): List<Placement> {
        if (job.spec.kind != JobKind.SERVICE) return victims
        val serviceCpus = HashMap<MachineId, Double>()
        return victims.sortedByDescending { victim ->
            serviceCpus.getOrPut(victim.machine) {
                cluster.machines[victim.machine]?.serviceCpus ?: 0.0
            }
        }
    }

    private companion object {
        const val MAX_TASKS_AT_ONCE = 64

        /** How many times what is needed a stopped task may be. */
        const val MAX_OVERSIZE = 2.0
    }
}
