package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Stops work to make room for other work. */
class Preemption(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val planner: Planner,
    private val stopper: TaskEvictor,
    private val operators: OperatorSettings,
) {
    /** Placements looked at so far: what it costs. */
    var looks = 0L
        private set

    /**
     * Stops work to make room: for a job of higher urgency, or to give a team its guarantee at the
     * cost of what another team runs beyond its own. Sized by class: as much as the job's waiting
     * tasks need and no more, counting what is on its way out already.
     */
    fun preempt() {
        val blocked =
            cluster.jobs.values.filter { job ->
                val since = job.blockedSince
                since != null &&
                    job.waiting > 0 &&
                    !job.isFailing &&
                    context.now - since >= patience(job)
            }
        if (blocked.isEmpty()) return
        val highest = blocked.minOf { it.spec.urgency }
        val beyond = cluster.teams.values.any { cluster.usedCpus(it.name) > it.cpus }
        val callBack = beyond && blocked.any { mayCallBack(it) }
        val leaving = ArrayList<Placement>()
        val stoppable = ArrayList<Placement>()
        for (machine in cluster.machines.values) {
            if (machine.placements.isEmpty()) continue
            val usable = planner.eligibility.usable(machine)
            for (placement in machine.placements.values) {
                val other = placement.job.spec.urgency
                if (placement.isStopping) leaving.add(placement)
                else if (!usable || !placement.committed || placement.status == null) continue
                else if (other > highest || (callBack && other == highest)) stoppable.add(placement)
            }
        }
        // Sorted once for all that wait: what is lost by a stop does not depend on for whom.
        val victims = Victims(stoppable.map { it to loss(it) }.sortedBy { it.second })
        var room = leaving.sumOf { it.job.spec.cpus }
        val cap = HashMap<String, Double>()
        for (placement in leaving) cap.merge(
            placement.job.spec.team,
            placement.job.spec.cpus,
            Double::plus,
        )
        for (job in blocked.sortedWith(compareBy({ it.spec.urgency }, { it.acceptedAt.value }))) {
            val spec = job.spec
            val wanted = minOf(job.waiting, MOST_AT_ONCE) * spec.cpus
            // What its team's cap leaves, and what the team's own less urgent work takes of it.
            val free = cluster.headroom(spec) * spec.cpus + (cap[spec.team] ?: 0.0)
            var own = 0.0
            if (wanted > free)
                own = makeRoom(job, wanted - free, victims) { it.job.spec.team == spec.team }
            cap[spec.team] = (cap[spec.team] ?: 0.0) + own - minOf(wanted, free + own)
            val rest = minOf(wanted, free + own) - own
            room += own
            if (rest > room) room += makeRoom(job, rest - room, victims) { true }
            room -= minOf(room, minOf(wanted, free + own))
        }
    }

    /** A replica that waits is a replica that is down: others only wait to see whether it helps. */
    private fun patience(job: Job): Micros =
        if (job.spec.shape == JobKind.SERVICE) Micros.ZERO else operators.preemptAfterS.seconds

    /**
     * What may be stopped for whom, the cheapest first. For most jobs that is only what is less
     * urgent: of a thousand placements like their own, not one is looked at for each job that
     * waits.
     */
    private inner class Victims(private val sorted: List<Pair<Placement, Double>>) {
        private val lists = HashMap<Pair<PriorityClass, Boolean>, List<Placement>>()

        fun of(job: Job): List<Placement> {
            val urgency = job.spec.urgency
            val callsBack = mayCallBack(job)
            return lists.getOrPut(urgency to callsBack) {
                sorted
                    .map { it.first }
                    .filter {
                        val other = it.job.spec
                        other.urgency > urgency ||
                            (callsBack && other.urgency == urgency && other.savable)
                    }
            }
        }
    }

    /** Stops as much as is wanted, the cheapest first; gives the CPUs that come free. */
    private fun makeRoom(
        job: Job,
        wanted: Double,
        victims: Victims,
        among: (Placement) -> Boolean,
    ): Double {
        var freed = 0.0
        var calledBack = false
        val zones = HashMap(planner.eligibility.zonesOf(job))
        for (victim in orderedFor(job, victims.of(job))) {
            if (freed >= wanted) break
            looks++
            if (!among(victim) || !helps(job, victim, zones, wanted - freed)) continue
            stopper.stop(victim, "room for ${job.id}")
            if (victim.job.spec.urgency == job.spec.urgency) calledBack = true
            freed += victim.job.spec.cpus
            if (job.isZoneBound) zones.merge(victim.zone, tasksInRoomOf(victim, job), Int::plus)
        }
        if (calledBack) job.lastReclaimAt = context.now
        return freed
    }

    /** True if stopping [victim] is allowed and gives the job room, at no more cost than that. */
    private fun helps(
        job: Job,
        victim: Placement,
        zones: Map<String, Int>,
        wanted: Double,
    ): Boolean {
        if (victim.isStopping || !mayStop(job, victim)) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return isRoomFor(job, machine, zones) &&
            !fetchesAlone(victim) &&
            // Nearly done: its room comes by itself.
            remaining(victim) >= SOON &&
            // Much larger than what is needed: it would destroy more than it pays for.
            victim.job.spec.cpus <= wanted * MOST_WASTE
    }

    /** True if room that comes free on the machine is of use to the job. */
    private fun isRoomFor(job: Job, machine: Machine, zones: Map<String, Int>): Boolean {
        val spec = job.spec
        val fits = planner.eligibility.allowed(spec, machine) && machine.type.holds(spec)
        if (!fits || planner.isHeldFrom(spec, machine.type)) return false
        // Where its zone has its share of the job already, it is of no use.
        if (!planner.eligibility.mayGoTo(machine.zone, spec, zones)) return false
        // Room that comes free elsewhere is of no use to a gang, and what is stopped comes back.
        return !spec.isGang || planner.gangReservations.isReservedFor(job, machine)
    }

    /** How many tasks of [job] go where [victim] is. */
    private fun tasksInRoomOf(victim: Placement, job: Job): Int =
        if (job.spec.cpus <= 0) 1 else maxOf(1, (victim.job.spec.cpus / job.spec.cpus).toInt())

    /** What has no end goes where most like it is: other machines come free for good. */
    private fun orderedFor(job: Job, victims: List<Placement>): List<Placement> {
        if (job.spec.shape != JobKind.SERVICE) return victims
        val held = HashMap<MachineId, Double>()
        fun servicesAt(machine: MachineId) =
            held.getOrPut(machine) { cluster.machines[machine]?.serviceCpus ?: 0.0 }
        return victims.sortedByDescending { servicesAt(it.machine) }
    }

    private fun mayStop(job: Job, victim: Placement): Boolean {
        val other = victim.job.spec
        // One task of a gang takes the others with it.
        if (other.shape == JobKind.GANG) return false
        if (other.urgency > job.spec.urgency) return true
        // A guarantee is called back only from work that keeps what it has done, and never from
        // more urgent work: otherwise two teams below theirs stop each other without end.
        if (other.team == job.spec.team || other.urgency < job.spec.urgency) return false
        if (!other.savable || !mayCallBack(job)) return false
        // Only for the team that the room would go to.
        if (cluster.queue.startTag(job.spec.team) > cluster.queue.startTag(other.team)) return false
        val theirs = cluster.teams[other.team] ?: return false
        return cluster.usedCpus(other.team) - other.cpus >= theirs.cpus
    }

    /**
     * Its team is below its guarantee. After each call-back it waits again, for the room to come.
     */
    private fun mayCallBack(job: Job): Boolean {
        val pause = operators.reclaimAfterS.seconds
        val own = cluster.teams[job.spec.team] ?: return false
        if (cluster.usedCpus(own.name) + job.spec.cpus > own.cpus) return false
        return waited(job) >= pause && context.now - job.lastReclaimAt >= pause
    }

    private fun waited(job: Job): Micros = job.blockedSince?.let { context.now - it } ?: Micros.ZERO

    /** Stopping the last task that waits for an image throws the fetch away. */
    private fun fetchesAlone(victim: Placement): Boolean {
        if (victim.status != TaskStatus.FETCHING) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return machine.placements.values.none {
            it !== victim && !it.isStopping && it.job.spec.image == victim.job.spec.image
        }
    }

    private fun remaining(victim: Placement): Micros {
        val since = victim.runningSince ?: return cluster.estimates.runTime(victim.job.spec)
        return cluster.estimates.runTime(victim.job.spec) - (context.now - since)
    }

    /** CPU-seconds that stopping it throws away. */
    private fun loss(victim: Placement): Double {
        val spec = victim.job.spec
        val since = victim.runningSince ?: return 0.0
        val lost = if (spec.savable) spec.saveS else (context.now - since).inSeconds
        return (lost + RESTART_S) * spec.cpus
    }

    private companion object {
        const val MOST_AT_ONCE = 64
        const val MOST_WASTE = 2.0
        const val RESTART_S = 3.0
        val SOON = 3.seconds
    }
}
