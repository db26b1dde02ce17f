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
import wardmux.store.KeyValueStore

/** The waiting work of a pool, in machines of its base type. */
class Backlog {
    /** To finish within about a boot time. */
    var soon = 0.0

    /** To finish within the service-level objectives: what ordinary machines are rented for. */
    var pressing = 0.0

    /** The part of [soon] that may not run on spot machines. */
    var ordinary = 0.0
}

/** Computes how many machines the waiting jobs need. */
class CapacityDemand(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val objectives: List<ServiceLevelObjective>,
    private val store: KeyValueStore,
) {
    /** The backlog of each pool; each team's work counts up to its quota limit only. */
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
        val left = headroom.getOrPut(spec.team) { unusedQuota(spec.team) }
        val all = placeable(job, fittingOf(spec, pool)).toDouble()
        val tasks = if (spec.cpus > 0) minOf(all, left / spec.cpus) else all
        if (tasks > 0) headroom[spec.team] = left - tasks * spec.cpus
        return tasks
    }

    private fun unusedQuota(team: String) =
        (cluster.teams[team]?.cpusMax ?: 0.0) - cluster.usedCpus(team)

    private fun fittingOf(spec: JobSpec, pool: MachinePool) =
        pool.base.taskCapacity(spec).coerceAtLeast(1)

    private fun add(job: Job, tasks: Double, pool: MachinePool, backlog: Backlog) {
        val spec = job.spec
        val run = cluster.estimates.runTime(spec).inSeconds.coerceAtLeast(1.0)
        val whole = tasks / fittingOf(spec, pool)
        val boot = pool.shortestBootS
        val horizon = boot * HORIZON_BOOTS
        val soon = machinesToFinishWithin(horizon, spec, whole, run)
        backlog.soon += soon
        if (!spec.spot) backlog.ordinary += soon
        val slack = slack(job, run)
        // Such work is over before a machine is up: no ordinary machine is rented for it.
        if (slack + age(job) < boot) return
        backlog.pressing +=
            machinesToFinishWithin(maxOf(horizon, slack * SLACK_PART), spec, whole, run)
    }

    /**
     * Machines that finish the work within [horizon] seconds. Services never free their resources,
     * and a gang needs its capacity at once: whole machines for both.
     */
    private fun machinesToFinishWithin(horizon: Double, spec: JobSpec, whole: Double, run: Double) =
        if (spec.estimateS > 0 && !spec.isGang) whole * minOf(1.0, run / horizon) else ceil(whole)

    /** What runs and may not be on spot machines, in machines of each pool's base type. */
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

    /** Tasks that can be placed: all of a gang, others as far as their task page has room. */
    private fun placeable(job: Job, together: Int): Int =
        if (job.spec.isGang) job.waiting
        else PageSizeEstimate.placeableTasks(job, together, store.maxValueBytes)

    /** Seconds that the job can still wait before it misses an objective of its class. */
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
