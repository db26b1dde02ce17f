package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds

/**
 * The tasks that may be evicted now. If the budgets do not allow other candidates, [refusal] is the
 * reason and [refusedTeam] their team; otherwise [refusal] is null and [refusedTeam] empty.
 */
class EvictionSelection(
    val selected: List<Placement>,
    val refusal: BudgetRefusal?,
    val refusedTeam: String,
)

/** True for a task of a service, which never ends by itself. */
val Placement.isReplica: Boolean
    get() = job.spec.kind == JobKind.SERVICE

/** The tasks that an eviction of this task stops: all tasks of a gang, otherwise only this one. */
val Placement.evictedTogether: List<Placement>
    get() = if (job.spec.isGang) job.placements.values.toList() else listOf(this)

/**
 * True if the placement is stored, the task was reported by its machine, and neither the task is
 * being stopped nor its job has ended.
 */
internal val Placement.isEvictable: Boolean
    get() = isCommitted && status != null && !isStopping && !job.hasEnded

/** Selects which tasks of a step are evicted next. */
class EvictionSelector(private val context: CoreContext, private val budgets: DisruptionBudgets) {
    /** Selects as many tasks as the budgets allow, those that lose the least run time first. */
    fun select(candidates: List<Placement>): EvictionSelection {
        val selected = ArrayList<Placement>()
        val selectedByTeam = HashMap<String, Int>()
        var refusal: BudgetRefusal? = null
        var refusedTeam = ""
        for (candidate in candidates.sortedBy { lostRunTime(it).value }) {
            if (selected.size >= MAX_EVICTIONS_AT_ONCE) break
            val team = candidate.job.spec.team
            val tasks = candidate.evictedTogether.size
            if (candidate.job.spec.isGang && selected.any { it.job === candidate.job }) continue
            val candidateRefusal =
                refusalWithSelected(candidate, tasks, selected, selectedByTeam[team] ?: 0)
            if (candidateRefusal != null) {
                // The refusal of a replica takes precedence in the report, because other tasks
                // end by themselves.
                if (refusal == null || candidate.isReplica) {
                    refusal = candidateRefusal
                    refusedTeam = team
                }
                continue
            }
            selected.add(candidate)
            selectedByTeam.merge(team, tasks, Int::plus)
        }
        return EvictionSelection(selected, refusal, refusedTeam)
    }

    /**
     * Why the budgets do not allow evicting [candidate] and its [tasks] in addition to those
     * already [selected]; null if they do.
     */
    private fun refusalWithSelected(
        candidate: Placement,
        tasks: Int,
        selected: List<Placement>,
        selectedOfTeam: Int,
    ): BudgetRefusal? {
        val ownRefusal = budgets.refusal(candidate.job, tasks)
        if (ownRefusal != null || selectedOfTeam == 0) return ownRefusal
        val team = candidate.job.spec.team
        if (budgets.disruptedTasks(team) + selectedOfTeam + tasks > budgets.disruptionLimit(team))
            return BudgetRefusal.Temporary("team $team: its budget is in use")
        val ofJob = selected.count { it.job === candidate.job }
        if (!candidate.isReplica || ofJob == 0) return null
        return budgets.refusal(candidate.job, ofJob + tasks)
    }

    /**
     * The run time that an eviction loses. Replicas and tasks with checkpoints lose the time that
     * saving takes; other tasks lose all run time so far.
     */
    private fun lostRunTime(placement: Placement): Micros {
        val since = placement.runningSince ?: return Micros.ZERO
        val spec = placement.job.spec
        return if (spec.isCheckpointable || placement.isReplica) spec.saveS.seconds
        else context.now - since
    }

    private companion object {
        /** The maximum number of tasks and gangs in one selection. */
        const val MAX_EVICTIONS_AT_ONCE = 64
    }
}
