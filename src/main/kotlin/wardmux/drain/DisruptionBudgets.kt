package wardmux.drain

import kotlin.math.ceil
import wardmux.config.DrainSettings
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskAttempt
import wardmux.model.TaskStatus
import wardmux.scheduling.ClusterState

/** Why a budget does not allow an eviction. */
sealed interface BudgetRefusal {
    /** The explanation that operators see. */
    val reason: String

    /** The eviction exceeds the budget even if no other task is disrupted. */
    data class Permanent(override val reason: String) : BudgetRefusal

    /** The budget is in use: tasks that are disrupted now have to run again first. */
    data class Temporary(override val reason: String) : BudgetRefusal
}

/**
 * Tracks the disruption budgets of the teams and how much of each budget is in use.
 *
 * A task counts towards its team's budget from its first start until it is done. It counts as
 * running only while a healthy machine reports it as running under this leader's fencing token;
 * otherwise it counts as disrupted. Disrupted tasks are therefore those that a drain evicted, those
 * lost in a crash or preemption, and those whose state is unknown, such as every task that has not
 * been reported to a new leader yet.
 */
class DisruptionBudgets(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val settings: DrainSettings,
    /** The tasks of a machine without a heartbeat for this long count as disrupted. */
    private val heartbeatTimeout: Micros,
) {
    /**
     * Task attempts that were evicted in this term. They count as disrupted at once, although their
     * machine may still report them as running for a while.
     */
    private val evictionsSent = HashSet<TaskAttempt>()
    private val runningByTeam = HashMap<String, Int>()
    private val disruptedByTeam = HashMap<String, Int>()
    private val disruptedByService = HashMap<JobId, Int>()

    /**
     * Counts the tasks of all jobs that have not ended. Between two calls only [recordEviction]
     * updates the counts.
     */
    fun recount() {
        runningByTeam.clear()
        disruptedByTeam.clear()
        disruptedByService.clear()
        for (job in cluster.jobs.values) if (!job.hasEnded && !job.allTasksDone) countTasks(job)
        if (evictionsSent.size > EVICTIONS_BEFORE_PRUNING) pruneEvictions()
    }

    private fun countTasks(job: Job) {
        var running = 0
        var disrupted = job.interrupted.size
        for (placement in job.placements.values) {
            if (isConfirmedRunning(placement)) running++
            else if (mayHaveStarted(placement)) disrupted++
        }
        runningByTeam.merge(job.spec.team, running, Int::plus)
        disruptedByTeam.merge(job.spec.team, disrupted, Int::plus)
        if (job.spec.kind == JobKind.SERVICE) disruptedByService[job.id] = disrupted
    }

    private fun pruneEvictions() {
        val currentAttempts = HashSet<TaskAttempt>()
        for (job in cluster.jobs.values) job.placements.values.mapTo(currentAttempts) {
            it.taskAttempt
        }
        evictionsSent.retainAll(currentAttempts)
    }

    /**
     * True if a healthy machine reports the task as running and no controller has told it to stop.
     */
    fun isConfirmedRunning(placement: Placement): Boolean {
        val machine = cluster.machines[placement.machine] ?: return false
        return placement.status == TaskStatus.RUNNING &&
            !placement.isStopping &&
            placement.taskAttempt !in evictionsSent &&
            isHealthy(machine)
    }

    private fun isHealthy(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        return machine.hasAdoptedToken &&
            !machine.isDecommissioned &&
            machine.preemptionNoticeAt == null &&
            context.now - lastHeartbeatAt < heartbeatTimeout
    }

    /**
     * True unless this is the task's first attempt, started by this leader and not reported as
     * running yet. A first attempt that was restored from the store may have run under an earlier
     * leader, so it counts as started.
     */
    private fun mayHaveStarted(placement: Placement) =
        placement.isRestored ||
            placement.attempt > 1 ||
            placement.runningSince != null ||
            placement.taskAttempt in evictionsSent

    /** True if the task already counts as disrupted, so that evicting it uses no more budget. */
    fun isDisrupted(placement: Placement) =
        !isConfirmedRunning(placement) && mayHaveStarted(placement)

    /** Counts the task as disrupted from now on, because its stop command is about to be sent. */
    fun recordEviction(placement: Placement) {
        val spec = placement.job.spec
        val wasDisrupted = isDisrupted(placement)
        val wasRunning = isConfirmedRunning(placement)
        if (!evictionsSent.add(placement.taskAttempt) || wasDisrupted) return
        disruptedByTeam.merge(spec.team, 1, Int::plus)
        if (wasRunning) runningByTeam.merge(spec.team, -1, Int::plus)
        if (spec.kind == JobKind.SERVICE) disruptedByService.merge(placement.job.id, 1, Int::plus)
    }

    /** The number of tasks of [team] that are disrupted or whose state is unknown. */
    fun disruptedTasks(team: String): Int = disruptedByTeam[team] ?: 0

    /**
     * The number of tasks of [team] that may be disrupted at once: the smaller of the budget's
     * number and its share of the team's started tasks, rounded up.
     */
    fun disruptionLimit(team: String): Int {
        val budget = settings.budgetOf(team)
        val tasks = (runningByTeam[team] ?: 0) + disruptedTasks(team)
        return minOf(budget.maxDisrupted, ceil(tasks * budget.maxDisruptedShare).toInt())
    }

    /** The number of replicas of the service [job] that may be down at once. */
    fun maxDownReplicas(job: Job): Int =
        (job.spec.tasks - settings.budgetOf(job.spec.team).minReplicas).coerceAtLeast(0)

    /** Why [count] more tasks of [job] may not be evicted now; null if they may be evicted. */
    fun refusal(job: Job, count: Int): BudgetRefusal? {
        val team = job.spec.team
        val budget = settings.budgetOf(team)
        if (budget.maxDisrupted < count || budget.maxDisruptedShare <= 0.0)
            return BudgetRefusal.Permanent(
                "team $team: ${job.id} disrupts $count at once, its budget is " +
                    "${budget.maxDisrupted} (share ${budget.maxDisruptedShare})"
            )
        if (job.spec.kind == JobKind.SERVICE)
            replicaRefusal(job, count)?.let {
                return it
            }
        val limit = disruptionLimit(team)
        if (disruptedTasks(team) + count <= limit) return null
        return BudgetRefusal.Temporary(
            "team $team: ${disruptedTasks(team)} of $limit workers are disrupted"
        )
    }

    private fun replicaRefusal(job: Job, count: Int): BudgetRefusal? {
        val maxDown = maxDownReplicas(job)
        val down = disruptedByService[job.id] ?: 0
        return when {
            maxDown < count ->
                BudgetRefusal.Permanent(
                    "team ${job.spec.team}: ${job.id} has ${job.spec.tasks} replicas, and " +
                        "${settings.budgetOf(job.spec.team).minReplicas} must stay up"
                )
            down + count > maxDown ->
                BudgetRefusal.Temporary("${job.id}: $down of at most $maxDown replicas are down")
            else -> null
        }
    }

    private companion object {
        /** Above this number, evictions of attempts that are no longer placed are forgotten. */
        const val EVICTIONS_BEFORE_PRUNING = 1_000
    }
}
