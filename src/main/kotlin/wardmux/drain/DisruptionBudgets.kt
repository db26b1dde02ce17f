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
    /** For the operators. */
    val reason: String

    /** The budget is too small for this, whatever runs again. */
    data class Permanent(override val reason: String) : BudgetRefusal

    /** Tasks that are disrupted now have to run again first. */
    data class Temporary(override val reason: String) : BudgetRefusal
}

/**
 * The disruption budgets of the teams, and how much of them is in use. A task counts from its first
 * start until it is done: as up only while a healthy machine reports it as running under this
 * leader's fencing token, and otherwise as disrupted. So evictions by a drain count, losses by a
 * crash or a preemption, and whatever is in doubt, such as all that has not been reported to a new
 * leader yet.
 */
class DisruptionBudgets(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val settings: DrainSettings,
    /** A machine without a heartbeat for this long is in doubt. */
    private val heartbeatTimeout: Micros,
) {
    /** Evictions of this term: the task may still be reported as running for a while. */
    private val evictionsSent = HashSet<TaskAttempt>()
    private val runningByTeam = HashMap<String, Int>()
    private val disruptedByTeam = HashMap<String, Int>()
    private val disruptedByService = HashMap<JobId, Int>()

    /** Counts all tasks again; until the next call [recordEviction] updates the counts. */
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

    /** True if the task is known to run, and was not sent a stop. */
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
     * False for a first start by this leader that does not run yet. A first start that an earlier
     * leader recorded may have run.
     */
    private fun mayHaveStarted(placement: Placement) =
        placement.isRestored ||
            placement.attempt > 1 ||
            placement.runningSince != null ||
            placement.taskAttempt in evictionsSent

    /** True if the task counts as disrupted already, so that its eviction takes nothing more. */
    fun isDisrupted(placement: Placement) =
        !isConfirmedRunning(placement) && mayHaveStarted(placement)

    /** Counts the task as disrupted from now, since its stop is being sent. */
    fun recordEviction(placement: Placement) {
        val spec = placement.job.spec
        val wasDisrupted = isDisrupted(placement)
        val wasRunning = isConfirmedRunning(placement)
        if (!evictionsSent.add(placement.taskAttempt) || wasDisrupted) return
        disruptedByTeam.merge(spec.team, 1, Int::plus)
        if (wasRunning) runningByTeam.merge(spec.team, -1, Int::plus)
        if (spec.kind == JobKind.SERVICE) disruptedByService.merge(placement.job.id, 1, Int::plus)
    }

    /** How many tasks of the team are disrupted or may be. */
    fun disruptedTasks(team: String): Int = disruptedByTeam[team] ?: 0

    /** How many tasks of the team may be disrupted at once, by number and share of its budget. */
    fun disruptionLimit(team: String): Int {
        val budget = settings.budgetOf(team)
        val tasks = (runningByTeam[team] ?: 0) + disruptedTasks(team)
        return minOf(budget.maxDisrupted, ceil(tasks * budget.maxDisruptedShare).toInt())
    }

    /** How many replicas of the service may be down at once. */
    fun maxDownReplicas(job: Job): Int =
        (job.spec.tasks - settings.budgetOf(job.spec.team).minReplicas).coerceAtLeast(0)

    /** Why [count] more tasks of the job may not be evicted now, or null if they may. */
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
        const val EVICTIONS_BEFORE_PRUNING = 1_000
    }
}
