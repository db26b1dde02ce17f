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
    var withinBootTime = 0.0

    /** To finish within the service-level objectives: what ordinary machines are rented for. */
    var withinObjectives = 0.0

    /** The part of [withinBootTime] that may not run on spot machines. */
    var ordinaryWithinBootTime = 0.0
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
        val unusedQuotas = HashMap<String, Double>()
        for (job in cluster.jobs.values) {
            if (job.waiting == 0 || job.isFailing) continue
            val pool = pools.poolFor(job.spec) ?: continue
            val tasks = countedTasks(job, pool, unusedQuotas)
            if (tasks > 0) add(job, tasks, pool, backlogs.getValue(pool))
        }
        return backlogs
    }

    private fun countedTasks(
        job: Job,
        pool: MachinePool,
        unusedQuotas: HashMap<String, Double>,
    ): Double {
        val spec = job.spec
        val freeQuota = unusedQuotas.getOrPut(spec.team) { unusedQuota(spec.team) }
        val all = placeableTasks(job, tasksPerMachine(spec, pool)).toDouble()
        val tasks = if (spec.cpus > 0) minOf(all, freeQuota / spec.cpus) else all
        if (tasks > 0) unusedQuotas[spec.team] = freeQuota - tasks * spec.cpus
        return tasks
    }

    private fun unusedQuota(team: String) =
        (cluster.teams[team]?.cpusMax ?: 0.0) - cluster.usedCpus(team)

    private fun tasksPerMachine(spec: JobSpec, pool: MachinePool) =
        pool.base.fitting(spec).coerceAtLeast(1)

    private fun add(job: Job, tasks: Double, pool: MachinePool, backlog: Backlog) {
        val spec = job.spec
        val runTimeS = cluster.estimates.runTime(spec).inSeconds.coerceAtLeast(1.0)
        val machines = tasks / tasksPerMachine(spec, pool)
        val bootTimeS = pool.shortestBootS
        val horizonS = bootTimeS * HORIZON_IN_BOOT_TIMES
        val machinesWithinBootTime = machinesToFinishWithin(horizonS, spec, machines, runTimeS)
        backlog.withinBootTime += machinesWithinBootTime
        if (!spec.spot) backlog.ordinaryWithinBootTime += machinesWithinBootTime
        val slackS = slackSeconds(job, runTimeS)
        // Such work is over before a machine is up: no ordinary machine is rented for it.
        if (slackS + ageSeconds(job) < bootTimeS) return
        backlog.withinObjectives +=
            machinesToFinishWithin(
                maxOf(horizonS, slackS * USABLE_SLACK_SHARE),
                spec,
                machines,
                runTimeS,
            )
    }

    /**
     * Machines that finish the work within [horizonS] seconds. Services never free their resources,
     * and a gang needs its capacity at once: whole machines for both.
     */
    private fun machinesToFinishWithin(
        horizonS: Double,
        spec: JobSpec,
        machines: Double,
        runTimeS: Double,
    ) =
        if (spec.estimateS > 0 && !spec.isGang) machines * minOf(1.0, runTimeS / horizonS)
        else ceil(machines)

    /** What runs and may not be on spot machines, in machines of each pool's base type. */
    fun ordinaryInUse(pools: MachinePools): Map<MachinePool, Double> {
        val inUse = HashMap<MachinePool, Double>()
        for (job in cluster.jobs.values) {
            if (job.spec.spot || job.placements.isEmpty()) continue
            val pool = pools.poolFor(job.spec) ?: continue
            val machines = job.placements.size.toDouble() / tasksPerMachine(job.spec, pool)
            inUse.merge(pool, machines, Double::plus)
        }
        return inUse
    }

    /** Tasks that can be placed: all of a gang, others as far as their task page has room. */
    private fun placeableTasks(job: Job, tasksPerMachine: Int): Int =
        if (job.spec.isGang) job.waiting
        else PageSizeEstimate.placeableTasks(job, tasksPerMachine, store.maxValueBytes)

    /** Seconds that the job can still wait before it misses an objective of its class. */
    private fun slackSeconds(job: Job, runTimeS: Double): Double {
        val spec = job.spec
        val maxWaitsS =
            objectives
                .filter { it.jobClass == spec.jobClass }
                .mapNotNull {
                    when (it.kind) {
                        ServiceLevelObjective.KIND_WAIT -> it.withinS
                        ServiceLevelObjective.KIND_FINISHED -> it.withinS - runTimeS
                        else -> null
                    }
                } + listOfNotNull(spec.deadlineS?.let { it - runTimeS })
        return (maxWaitsS.minOrNull() ?: 0.0) - ageSeconds(job)
    }

    private fun ageSeconds(job: Job) = (context.wallTime - job.acceptedAt).inSeconds

    private companion object {
        const val HORIZON_IN_BOOT_TIMES = 0.5
        const val USABLE_SLACK_SHARE = 0.6
    }
}
