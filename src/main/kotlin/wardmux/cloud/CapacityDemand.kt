package wardmux.cloud

import kotlin.math.ceil
import wardmux.config.ServiceLevelObjective
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.scheduling.ClusterState
import wardmux.scheduling.MachinePool
import wardmux.scheduling.MachinePools
import wardmux.scheduling.PageSizeEstimate

/** How many machines the waiting work of a pool would use, in machines of its base type. */
class Backlog {
    /** To be worked off within a boot time or so. */
    var soon = 0.0

    /** To be worked off within what the users' aims leave: what dear machines are rented for. */
    var pressing = 0.0

    /** The part of it that may not go to spot machines. */
    var ordinary = 0.0
}

/** Works out how many machines the waiting jobs need. */
class CapacityDemand(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val objectives: List<ServiceLevelObjective>,
    private val mostValueBytes: () -> Int,
) {
    /** What waits, by pool. Of each team only as much counts as its limit leaves. */
    fun backlogs(pools: MachinePools): Map<MachinePool, Backlog> {
        val backlogs = pools.pools.associateWith { Backlog() }
        val headroom = HashMap<String, Double>()
        for (job in cluster.jobs.values) {
            if (job.waiting == 0 || job.isFailing) continue
            val pool = pools.poolFor(job.spec) ?: continue
            val tasks = countedTasks(job, pool, headroom)
            if (tasks > 0) add(job, tasks, pool, backlogs.getValue(pool))
        }
        return backlogs
    }

    private fun countedTasks(
        job: Job,
        pool: MachinePool,
        headroom: HashMap<String, Double>,
    ): Double {
        val spec = job.spec
        val left = headroom.getOrPut(spec.team) { unusedCap(spec.team) }
        val all = placeable(job, fittingOf(spec, pool)).toDouble()
        val tasks = if (spec.cpus > 0) minOf(all, left / spec.cpus) else all
        if (tasks > 0) headroom[spec.team] = left - tasks * spec.cpus
        return tasks
    }

    private fun unusedCap(team: String) =
        (cluster.teams[team]?.cpusMax ?: 0.0) - cluster.usedCpus(team)

    private fun fittingOf(spec: JobSpec, pool: MachinePool) =
        pool.base.fitting(spec).coerceAtLeast(1)

    private fun add(job: Job, tasks: Double, pool: MachinePool, backlog: Backlog) {
        val spec = job.spec
        val run = cluster.estimates.runTime(spec).inSeconds.coerceAtLeast(1.0)
        val whole = tasks / fittingOf(spec, pool)
        val boot = pool.shortestBootS
        val horizon = boot * HORIZON_BOOTS
        val soon = workedOffWithin(horizon, spec, whole, run)
        backlog.soon += soon
        if (!spec.spot) backlog.ordinary += soon
        val slack = slack(job, run)
        // Of a kind that is over before a machine is up: a dear one is not for that.
        if (slack + age(job) < boot) return
        backlog.pressing += workedOffWithin(maxOf(horizon, slack * SLACK_PART), spec, whole, run)
    }

    /**
     * What has no end never makes room for the rest: half a machine less is never rented. A gang
     * needs all its room at once.
     */
    private fun workedOffWithin(horizon: Double, spec: JobSpec, whole: Double, run: Double) =
        if (spec.estimateS > 0 && !spec.isGang) whole * minOf(1.0, run / horizon) else ceil(whole)

    /** What is out and may not be on spot machines, in machines of the pool's base type. */
    fun ordinaryInUse(pools: MachinePools): Map<MachinePool, Double> {
        val inUse = HashMap<MachinePool, Double>()
        for (job in cluster.jobs.values) {
            if (job.spec.spot || job.placements.isEmpty()) continue
            val pool = pools.poolFor(job.spec) ?: continue
            val machines = job.placements.size.toDouble() / fittingOf(job.spec, pool)
            inUse.merge(pool, machines, Double::plus)
        }
        return inUse
    }

    /** Of a gang all pages are written at once, in several writes if need be. */
    private fun placeable(job: Job, together: Int): Int =
        if (job.spec.isGang) job.waiting
        else PageSizeEstimate.placeable(job, together, mostValueBytes())

    /** Seconds that the job can still wait before it misses what its users expect of its class. */
    private fun slack(job: Job, run: Double): Double {
        val spec = job.spec
        val limits =
            objectives
                .filter { it.jobClass == spec.jobClass }
                .mapNotNull {
                    when (it.kind) {
                        ServiceLevelObjective.KIND_WAIT -> it.withinS
                        ServiceLevelObjective.KIND_FINISHED -> it.withinS - run
                        else -> null
                    }
                } + listOfNotNull(spec.deadlineS?.let { it - run })
        return (limits.minOrNull() ?: 0.0) - age(job)
    }

    private fun age(job: Job) = (context.wallTime - job.acceptedAt).inSeconds

    private companion object {
        const val HORIZON_BOOTS = 0.5
        const val SLACK_PART = 0.6
    }
}
