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
import wardmux.model.TaskStatus
import wardmux.scheduling.ClusterState

/** Why a budget has no room. */
sealed interface BudgetRefusal {
    /** As the operators read it. */
    val text: String

    /** The budget is too small for this, whatever comes back. */
    data class Never(override val text: String) : BudgetRefusal

    /** Workers that are disrupted now have to run again first. */
    data class NotNow(override val text: String) : BudgetRefusal
}

/**
 * How many workers (running tasks) of each team are disrupted. A task counts from its first start
 * until it is done: as up only while it is reported as running under this leader's token by a
 * machine that is heard and is not about to go, and otherwise as disrupted. So what was stopped by
 * a drain counts, what was lost by a crash, a recall or a preemption, and whatever is in doubt,
 * such as all that a new leader has not heard of yet.
 */
class DisruptionBudgets(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val settings: DrainSettings,
    /** A machine that was not heard for as long is in doubt. */
    private val heartbeatTimeout: Micros,
) {
    /** Stops that went out in this term: the task may report that it runs for a while yet. */
    private val evictionsSent = HashSet<Pair<String, Int>>()
    private val runningByTeam = HashMap<String, Int>()
    private val disruptedByTeam = HashMap<String, Int>()
    private val disruptedByService = HashMap<JobId, Int>()

    /** Counts anew; between two counts [stopped] keeps them up to date. */
    fun count() {
        runningByTeam.clear()
        disruptedByTeam.clear()
        disruptedByService.clear()
        for (job in cluster.jobs.values) if (!job.hasEnded && !job.allTasksDone) count(job)
        if (evictionsSent.size > MAX_EVICTIONS_KEPT) forgetOldEvictions()
    }

    private fun count(job: Job) {
        var up = 0
        var lost = job.interrupted.size
        for (placement in job.placements.values) {
            if (isUp(placement)) up++ else if (wasUp(placement)) lost++
        }
        runningByTeam.merge(job.spec.team, up, Int::plus)
        disruptedByTeam.merge(job.spec.team, lost, Int::plus)
        if (job.spec.shape == JobKind.SERVICE) disruptedByService[job.id] = lost
    }

    private fun forgetOldEvictions() {
        val placed = HashSet<Pair<String, Int>>()
        for (job in cluster.jobs.values) job.placements.values.mapTo(placed) { it.attemptKey }
        evictionsSent.retainAll(placed)
    }

    /** True if the task surely runs, and nothing that was sent will end it. */
    fun isUp(placement: Placement): Boolean {
        val machine = cluster.machines[placement.machine] ?: return false
        return placement.status == TaskStatus.RUNNING &&
            !placement.isStopping &&
            placement.attemptKey !in evictionsSent &&
            isSound(machine)
    }

    private fun isSound(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        return machine.confirmed &&
            !machine.decommissioned &&
            machine.preemptionNoticeAt == null &&
            context.now - lastHeartbeatAt < heartbeatTimeout
    }

    /**
     * A first start that this leader decided and that does not run yet was never up. One that an
     * earlier leader recorded may have been.
     */
    private fun wasUp(placement: Placement) =
        placement.restored ||
            placement.attempt > 1 ||
            placement.runningSince != null ||
            placement.attemptKey in evictionsSent

    /** The task counts as disrupted already, so that its stop takes nothing more. */
    fun isDisrupted(placement: Placement) = !isUp(placement) && wasUp(placement)

    /** The stop of this task went out, so it counts as disrupted from now. */
    fun stopped(placement: Placement) {
        val spec = placement.job.spec
        val wasLost = isDisrupted(placement)
        val wasUp = isUp(placement)
        if (!evictionsSent.add(placement.attemptKey) || wasLost) return
        disruptedByTeam.merge(spec.team, 1, Int::plus)
        if (wasUp) runningByTeam.merge(spec.team, -1, Int::plus)
        if (spec.shape == JobKind.SERVICE) disruptedByService.merge(placement.job.id, 1, Int::plus)
    }

    /** Workers of the team that are disrupted or may be. */
    fun disruptedOf(team: String): Int = disruptedByTeam[team] ?: 0

    /** The most that may be disrupted at once, by the number and the share of the team's budget. */
    fun limitOf(team: String): Int {
        val budget = settings.budgetOf(team)
        val workers = (runningByTeam[team] ?: 0) + disruptedOf(team)
        return minOf(budget.maxDisrupted, ceil(workers * budget.maxDisruptedShare).toInt())
    }

    /** How many replicas of the service may be down at once. */
    fun maxReplicasDown(job: Job): Int =
        (job.spec.tasks - settings.budgetOf(job.spec.team).minReplicas).coerceAtLeast(0)

    /** Why [count] more tasks of the job may not be stopped now, or null if they may. */
    fun refusal(job: Job, count: Int): BudgetRefusal? {
        val team = job.spec.team
        val budget = settings.budgetOf(team)
        if (budget.maxDisrupted < count || budget.maxDisruptedShare <= 0.0)
            return BudgetRefusal.Never(
                "team $team: ${job.id} disrupts $count at once, its budget is " +
                    "${budget.maxDisrupted} (share ${budget.maxDisruptedShare})"
            )
        if (job.spec.shape == JobKind.SERVICE)
            replicaRefusal(job, count)?.let {
                return it
            }
        val limit = limitOf(team)
        if (disruptedOf(team) + count <= limit) return null
        return BudgetRefusal.NotNow(
            "team $team: ${disruptedOf(team)} of $limit workers are disrupted"
        )
    }

    private fun replicaRefusal(job: Job, count: Int): BudgetRefusal? {
        val most = maxReplicasDown(job)
        val down = disruptedByService[job.id] ?: 0
        return when {
            most < count ->
                BudgetRefusal.Never(
                    "team ${job.spec.team}: ${job.id} has ${job.spec.tasks} replicas, and " +
                        "${settings.budgetOf(job.spec.team).minReplicas} must stay up"
                )
            down + count > most ->
                BudgetRefusal.NotNow("${job.id}: $down of at most $most replicas are down")
            else -> null
        }
    }

    private val Placement.attemptKey: Pair<String, Int>
        get() = name to attempt

    private companion object {
        const val MAX_EVICTIONS_KEPT = 1_000
    }
}
