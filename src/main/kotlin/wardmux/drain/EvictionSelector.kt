package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.seconds

/** Tasks that may be evicted now; if others may not, why, and of which team they are. */
class EvictionSelection(
    val selected: List<Placement>,
    val refusal: BudgetRefusal?,
    val refusedTeam: String,
)

/** A task of a service, which never ends by itself. */
val Placement.isReplica: Boolean
    get() = job.spec.kind == JobKind.SERVICE

/** The tasks that an eviction of this one stops: all of a gang. */
val Placement.evictedTogether: List<Placement>
    get() = if (job.spec.isGang) job.placements.values.toList() else listOf(this)

/** The task runs, its placement is stored, and it is not being stopped. */
internal val Placement.isEvictable: Boolean
    get() = isCommitted && status != null && !isStopping && !job.hasEnded

/** Selects which tasks of a step are evicted next. */
class EvictionSelector(private val context: CoreContext, private val budgets: DisruptionBudgets) {
    /** As many as the budgets allow, those that lose least run time first. */
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
                // A refused replica is reported first: other tasks end by themselves.
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

    /** Why the budgets do not allow [candidate] beside what is [selected] already, or null. */
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

    /** Run time that is lost by an eviction. */
    private fun lostRunTime(placement: Placement): Micros {
        val since = placement.runningSince ?: return Micros.ZERO
        val spec = placement.job.spec
        return if (spec.isCheckpointable || placement.isReplica) spec.saveS.seconds
        else context.now - since
    }

    private companion object {
        const val MAX_EVICTIONS_AT_ONCE = 64
    }
}
