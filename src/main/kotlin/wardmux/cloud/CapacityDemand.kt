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

/** The machines that the waiting work of a pool needs, in machines of its base type. */
class Backlog {
    /** The machines that finish the work within [CapacityDemand]'s horizon of half a boot time. */
    var withinBootTime = 0.0

    /**
     * The machines that finish the work within the service-level objectives. If no spot machines
     * are available, ordinary ones are rented up to this number.
     */
    var withinObjectives = 0.0

    /** The part of [withinBootTime] for jobs that may not run on spot machines. */
    var ordinary = 0.0
}

/** Computes how many machines the waiting jobs and the running ordinary work need. */
class CapacityDemand(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val objectives: List<ServiceLevelObjective>,
    private val store: KeyValueStore,
) {
    /** The backlog of each pool. The work of a team counts only up to the team's quota limit. */
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

    /** The waiting tasks of [job] that fit the rest of its team's quota; reserves that quota. */
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

    /** The CPUs that [team] may still use under its quota limit. */
    private fun unusedQuota(team: String) =
        (cluster.teams[team]?.cpusMax ?: 0.0) - cluster.usedCpus(team)

    private fun tasksPerMachine(spec: JobSpec, pool: MachinePool) =
        pool.base.taskCapacity(spec).coerceAtLeast(1)

    private fun add(job: Job, tasks: Double, pool: MachinePool, backlog: Backlog) {
        val spec = job.spec
        val runTimeS = cluster.estimates.runTime(spec).inSeconds.coerceAtLeast(1.0)
        val machines = tasks / tasksPerMachine(spec, pool)
        val bootTimeS = pool.shortestBootS
        val horizonS = bootTimeS * HORIZON_IN_BOOT_TIMES
        val machinesWithinBootTime = machinesToFinishWithin(horizonS, spec, machines, runTimeS)
        backlog.withinBootTime += machinesWithinBootTime
        if (!spec.spot) backlog.ordinary += machinesWithinBootTime
        val slackS = slackSeconds(job, runTimeS)
        // No ordinary machine is rented for a job that should start less than a boot time after it
        // was accepted, because its work is over before a new machine is up. The same applies to a
        // job with neither a deadline nor an objective.
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
     * The machines that finish within [horizonS] seconds the work of [machines] machines for
     * [runTimeS] seconds. Services never free their resources, and a gang needs all its capacity at
     * once, so neither can share machines over time: they count as whole machines.
     */
    private fun machinesToFinishWithin(
        horizonS: Double,
        spec: JobSpec,
        machines: Double,
        runTimeS: Double,
    ) =
        if (spec.estimateS > 0 && !spec.isGang) machines * minOf(1.0, runTimeS / horizonS)
        else ceil(machines)

    /** The running work that may not use spot machines, in machines of each pool's base type. */
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

    /**
     * The waiting tasks that can be placed: all of a gang; of other jobs as many as their stored
     * task pages have room for.
     */
    private fun placeableTasks(job: Job, tasksPerMachine: Int): Int =
        if (job.spec.isGang) job.waiting
        else PageSizeEstimate.placeableTasks(job, tasksPerMachine, store.maxValueBytes)

    /**
     * The seconds that [job] can still wait before it misses its deadline or an objective of its
     * class; with neither, minus its age.
     */
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

    /** The seconds since [job] was accepted. */
    private fun ageSeconds(job: Job) = (context.wallTime - job.acceptedAt).inSeconds

    private companion object {
        /** Within this, in boot times of the pool, the backlog is to be finished. */
        const val HORIZON_IN_BOOT_TIMES = 0.5

        /** The share of a job's slack within which its work is to be finished. */
        const val USABLE_SLACK_SHARE = 0.6
    }
}
